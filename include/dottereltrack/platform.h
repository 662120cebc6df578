#pragma once

// Public header of the platform library: the store that holds the cell table
// and the operators' configuration, and its HTTP client.

#include "platform/store.h"  // IWYU pragma: export
