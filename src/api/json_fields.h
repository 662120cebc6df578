#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dottereltrack {

// Reads a JSON value into a T. Returns an error message that says how to
// correct the value, or an empty string on success.
template <typename T>
using FieldReader = std::function<std::string(
    const nlohmann::json& value, const std::string& path, T* target)>;

// Describes one field of a JSON object that is parsed into a T.
template <typename T>
struct JsonField {
  std::string name;
  bool required = false;
  FieldReader<T> read;
};

// Returns the message "'path' is VALUE; use EXPECTED". Long values are
// truncated because callers log these messages.
std::string InvalidValueMessage(const std::string& path,
                                const nlohmann::json& value,
                                const std::string& expected);

// Returns the path of member `name` of the object at `path`. The path of the
// whole body is empty.
std::string FieldPath(const std::string& path, const std::string& name);

// Reads an integer from `min` to `max`. Returns an error message, or an empty
// string on success.
std::string ReadInteger(const nlohmann::json& value, const std::string& path,
                        std::int64_t min, std::int64_t max, std::int64_t* n);

// Reads a string of 1 to `max_bytes` bytes. Returns an error message, or an
// empty string on success.
std::string ReadBoundedString(const nlohmann::json& value,
                              const std::string& path, std::size_t max_bytes,
                              std::string* text);

// Reads all fields of an object and rejects unknown ones. Returns the first
// error message, or an empty string on success.
template <typename T>
std::string ReadFields(const nlohmann::json& object, const std::string& path,
                       const std::vector<JsonField<T>>& fields, T* target) {
  if (!object.is_object()) {
    return InvalidValueMessage(path, object, "an object");
  }
  std::size_t n_known_fields = 0;
  for (const JsonField<T>& field : fields) {
    const std::string field_path = FieldPath(path, field.name);
    const auto it = object.find(field.name);
    if (it == object.end()) {
      if (field.required) return "'" + field_path + "' is missing; add it";
      continue;
    }
    ++n_known_fields;
    std::string error_message = field.read(*it, field_path, target);
    if (!error_message.empty()) return error_message;
  }
  if (n_known_fields == object.size()) return {};
  std::string known_fields;
  for (const JsonField<T>& field : fields) known_fields += " " + field.name;
  for (const auto& item : object.items()) {
    if ((known_fields + " ").find(" " + item.key() + " ") ==
        std::string::npos) {
      return "'" + FieldPath(path, item.key()) +
             "' is not known; remove it, or use one of:" + known_fields;
    }
  }
  return {};
}

}  // namespace dottereltrack
