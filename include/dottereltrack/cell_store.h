#pragma once

// Public header of the cell store library: the interface of the store that
// holds the cell table and the operators' configuration, and the JSON encoding
// of both.

#include "cell_store/cell_json.h"  // IWYU pragma: export
#include "cell_store/store.h"      // IWYU pragma: export
