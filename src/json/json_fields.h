#pragma once

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dottereltrack {

enum class JsonErrorKind {
  // The text is not JSON.
  kMalformed,
  // A required field is absent.
  kMissing,
  kWrongType,
  // The type is right, but the value is not allowed.
  kBadValue,
};

// Why a JSON text was rejected. The message names the field and the correction.
struct JsonError {
  JsonErrorKind kind = JsonErrorKind::kMalformed;
  // Path of the field, such as "members[1].id"; empty for the whole text.
  std::string field{};
  std::string message{};
  friend bool operator==(const JsonError&, const JsonError&) = default;
};

template <typename T>
using JsonResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, JsonError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

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

// Read the value at the cursor. A wrong type sets the cursor's error.
void Read(const JsonCursor& at, std::string* out);
void Read(const JsonCursor& at, std::uint64_t* out);
void Read(const JsonCursor& at, std::uint32_t* out);
void Read(const JsonCursor& at, std::uint16_t* out);
void Read(const JsonCursor& at, std::int64_t* out);
void Read(const JsonCursor& at, double* out);
void Read(const JsonCursor& at, bool* out);
// Reads a whole number of at least 1.
void ReadPositive(const JsonCursor& at, std::uint32_t* out);
// Reads a 64-bit id from a string of 16 hexadecimal digits. Ids are not written
// as numbers because many JSON parsers store numbers as doubles.
void ReadHexId(const JsonCursor& at, std::uint64_t* out);
void ReadArray(const JsonCursor& at, const ArrayElementReader& read);
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

// Parses a text and reads it with `read`.
template <typename T>
JsonResult<T> ParseJson(std::string_view text,
                        void (*read)(const JsonCursor&, T*)) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    return JsonError{JsonErrorKind::kMalformed, "",
                     "the text is not JSON; write one JSON object"};
  }
  std::optional<JsonError> error;
  T value;
  read({&json, "", &error}, &value);
  if (error) return *error;
  return value;
}

}  // namespace dottereltrack
