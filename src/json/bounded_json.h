#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "json/json_error.h"

namespace dottereltrack {

// Limits for JSON text from other processes. They bound the memory and the
// stack that a malicious or damaged text can take up.
struct JsonLimits {
  std::size_t max_bytes = 8U << 20;
  // Nesting levels of arrays and objects. The functions of the JSON library
  // that copy or serialize a value recurse once for each level.
  std::size_t max_depth = 32;
  // Values in the whole text. Each one takes up to 100 bytes of memory.
  std::size_t max_values = 200'000;
  // Values in one item. An item is an element of a list, or a field of an
  // object, that is itself a field of the text's object.
  std::size_t max_item_values = 20'000;
  friend bool operator==(const JsonLimits&, const JsonLimits&) = default;
};

enum class JsonComments { kRefused, kIgnored };

// Parses a text. Errors: kMalformed for a syntax error, with its position, and
// kTooLarge if the text as a whole exceeds a limit.
//
// A value that cannot be represented costs only itself: null takes the place
// of a value nested too deeply, of an item with too many values and, unless
// comments are ignored, of a number too large for a double. Readers report the
// null as a wrong type if they need the value.
JsonResult<nlohmann::json> ParseBoundedJson(
    std::string_view text, JsonComments comments = JsonComments::kRefused,
    const JsonLimits& limits = {});

}  // namespace dottereltrack
