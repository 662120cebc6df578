#pragma once

// Public header of the wire library: the messages of core as frames between
// processes. It encodes and decodes, and decides nothing.

#include "wire/codec.h"  // IWYU pragma: export
