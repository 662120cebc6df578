#pragma once

// Public header of the wire library: encodes the messages of the decision
// library as frames between processes, and decodes them. It makes no scheduling
// decisions.

#include "wire/codec.h"  // IWYU pragma: export
