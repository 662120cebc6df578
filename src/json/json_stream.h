#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "json/bounded_json.h"
#include "json/json_error.h"

namespace dottereltrack {

// A value that is neither an array nor an object. A whole number is unsigned
// unless it is written with a minus sign.
using JsonScalar = std::variant<std::nullptr_t, bool, std::uint64_t,
                                std::int64_t, double, std::string>;

// Receives the parts of a JSON text in their order, without a tree of them. The
// opening of an array or object is followed by its elements and its end.
class JsonStreamReader {
 public:
  virtual ~JsonStreamReader() = default;
  // The text is read from its start. Called again if it must be read twice.
  virtual void OnStart() = 0;
  // The name of the next value of the innermost object.
  virtual void OnKey(std::string_view name) = 0;
  virtual void OnScalar(JsonScalar value) = 0;
  virtual void OnObject() = 0;
  virtual void OnArray() = 0;
  // The innermost array or object ends.
  virtual void OnEnd() = 0;
  // The item that is being read (see JsonLimits) has too many values and counts
  // as null; nothing more of it follows.
  virtual void OnItemDropped() = 0;
};

// Passes a text to a reader. Bounds and errors are those of ParseBoundedJson.
std::optional<JsonError> ReadJsonStream(std::string_view text,
                                        JsonStreamReader* reader,
                                        const JsonLimits& limits = {});

}  // namespace dottereltrack
