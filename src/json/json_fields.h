#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "json/bounded_json.h"
#include "json/json_error.h"

namespace dottereltrack {

// Whether an absent field is an error or leaves the default in place.
enum class Presence { kRequired, kOptional };

// One value within a JSON text, with its path and a pointer to the first error
// found in the text. After an error, the functions below do nothing.
struct JsonCursor {
  const nlohmann::json* value = nullptr;
  std::string path;
  std::optional<JsonError>* error = nullptr;
};

// Callbacks for each element of an array and for each field of an object.
using ArrayElementReader = std::function<void(const JsonCursor&)>;
using ObjectFieldReader =
    std::function<void(const std::string&, const JsonCursor&)>;

// Callback for an element in which an error was found.
using RefusedElementReader =
    std::function<void(const JsonCursor&, const JsonError&)>;

// Sets the cursor's error to kBadValue with the message "FIELD PROBLEM;
// REMEDY", unless the cursor has an error already.
void RefuseValue(const JsonCursor& at, const std::string& problem,
                 const std::string& remedy);

// Read the value at the cursor. A wrong type sets the cursor's error.
void Read(const JsonCursor& at, std::string* out);
void Read(const JsonCursor& at, std::uint64_t* out);
void Read(const JsonCursor& at, std::uint32_t* out);
void Read(const JsonCursor& at, std::uint16_t* out);
void Read(const JsonCursor& at, std::int64_t* out);
void Read(const JsonCursor& at, double* out);
void Read(const JsonCursor& at, bool* out);
// Reads a whole number from `min` to `max`.
void ReadInRange(const JsonCursor& at, std::int64_t min, std::int64_t max,
                 std::int64_t* out);
// Reads a whole number of at least 1.
void ReadPositive(const JsonCursor& at, std::uint32_t* out);
// Largest whole number that a JSON parser with double-precision numbers reads
// exactly (RFC 8259, section 6).
inline constexpr std::int64_t kMaxExactInteger = std::int64_t{1} << 53;

// Reads a 64-bit id from a string of 16 hexadecimal digits. Ids are not written
// as numbers because many JSON parsers store numbers as doubles.
void ReadHexId(const JsonCursor& at, std::uint64_t* out);
void ReadArray(const JsonCursor& at, const ArrayElementReader& read);
// Reads an array whose elements come from independent writers: passes an
// element in which `read` finds an error to `refuse` and goes on.
void ReadItems(const JsonCursor& at, const ArrayElementReader& read,
               const RefusedElementReader& refuse);
void ReadObject(const JsonCursor& at, const ObjectFieldReader& read);

// Returns the cursor of a field of an object; std::nullopt if it is absent.
// Unknown fields are ignored, so that an older version can read values of a
// newer one.
std::optional<JsonCursor> Field(const JsonCursor& at, const char* name,
                                Presence presence);

// Reads a field of an object if it is present.
template <typename T>
void ReadField(const JsonCursor& at, const char* name, Presence presence,
               T* out) {
  if (const auto field = Field(at, name, presence)) Read(*field, out);
}

// Reads a field of an object, if it is present, as a whole number from `min` to
// `max`.
template <typename T>
void ReadFieldInRange(const JsonCursor& at, const char* name, Presence presence,
                      std::int64_t min, std::int64_t max, T* out) {
  const auto field = Field(at, name, presence);
  if (!field) return;
  auto value = static_cast<std::int64_t>(*out);
  ReadInRange(*field, min, max, &value);
  *out = static_cast<T>(value);
}

// Parses a text within the default limits and reads it with `read`.
template <typename T>
JsonResult<T> ParseJson(std::string_view text,
                        void (*read)(const JsonCursor&, T*)) {
  const auto json = ParseBoundedJson(text);
  if (!json) return json.error();
  std::optional<JsonError> error;
  T value;
  read({&json.value(), "", &error}, &value);
  if (error) return *error;
  return value;
}

}  // namespace dottereltrack
