#pragma once

// Public header of the platform library: the store that holds the cell table
// and the operators' configuration, its HTTP client, and both values as JSON.

#include "platform/cell_json.h"     // IWYU pragma: export
#include "platform/store.h"         // IWYU pragma: export
#include "platform/store_client.h"  // IWYU pragma: export
