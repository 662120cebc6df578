#include "json/json_fields.h"

#include <limits>
#include <utility>

#include "core/ids.h"

namespace dottereltrack {
namespace {

void SetError(const JsonCursor& at, JsonErrorKind kind,
              const std::string& problem, const std::string& remedy) {
  if (*at.error) return;
  const std::string name = at.path.empty() ? "the text" : at.path;
  *at.error = JsonError{kind, at.path, name + " " + problem + "; " + remedy};
}

void SetTypeError(const JsonCursor& at, const char* expected) {
  SetError(at, JsonErrorKind::kWrongType,
           std::string("is of type ") + at.value->type_name(),
           std::string("write ") + expected);
}

// Reads a whole number from 0 to the largest value of T.
template <typename T>
void ReadUnsigned(const JsonCursor& at, T* out) {
  if (*at.error) return;
  constexpr auto max = std::numeric_limits<T>::max();
  if (!at.value->is_number_integer()) return SetTypeError(at, "a whole number");
  if (!at.value->is_number_unsigned() || at.value->get<std::uint64_t>() > max) {
    return RefuseValue(at, "is out of range",
                       "write a number from 0 to " + std::to_string(max));
  }
  *out = at.value->get<T>();
}

}  // namespace

void RefuseValue(const JsonCursor& at, const std::string& problem,
                 const std::string& remedy) {
  SetError(at, JsonErrorKind::kBadValue, problem, remedy);
}

void Read(const JsonCursor& at, std::string* out) {
  if (*at.error) return;
  if (!at.value->is_string()) return SetTypeError(at, "a string");
  *out = at.value->get<std::string>();
}

void Read(const JsonCursor& at, std::uint64_t* out) { ReadUnsigned(at, out); }
void Read(const JsonCursor& at, std::uint32_t* out) { ReadUnsigned(at, out); }
void Read(const JsonCursor& at, std::uint16_t* out) { ReadUnsigned(at, out); }

void Read(const JsonCursor& at, std::int64_t* out) {
  if (*at.error) return;
  if (!at.value->is_number_integer()) return SetTypeError(at, "a whole number");
  constexpr auto max = std::numeric_limits<std::int64_t>::max();
  if (at.value->is_number_unsigned() &&
      at.value->get<std::uint64_t>() > static_cast<std::uint64_t>(max)) {
    return RefuseValue(at, "is out of range",
                       "write a number up to " + std::to_string(max));
  }
  *out = at.value->get<std::int64_t>();
}

void Read(const JsonCursor& at, double* out) {
  if (*at.error) return;
  if (!at.value->is_number()) return SetTypeError(at, "a number");
  *out = at.value->get<double>();
}

void Read(const JsonCursor& at, bool* out) {
  if (*at.error) return;
  if (!at.value->is_boolean()) return SetTypeError(at, "true or false");
  *out = at.value->get<bool>();
}

void ReadInRange(const JsonCursor& at, std::int64_t min, std::int64_t max,
                 std::int64_t* out) {
  std::int64_t value = 0;
  Read(at, &value);
  if (*at.error) return;
  if (value < min || value > max) {
    return RefuseValue(at, "is out of range",
                       "write a number from " + std::to_string(min) + " to " +
                           std::to_string(max));
  }
  *out = value;
}

void ReadPositive(const JsonCursor& at, std::uint32_t* out) {
  std::uint32_t value = 0;
  Read(at, &value);
  if (*at.error) return;
  if (value == 0) {
    return RefuseValue(at, "is 0", "write a number of at least 1");
  }
  *out = value;
}

void ReadHexId(const JsonCursor& at, std::uint64_t* out) {
  std::string text;
  Read(at, &text);
  if (*at.error) return;
  const auto value = ParseHexId(text);
  if (!value) {
    return RefuseValue(at, "is not an id", "write 16 hexadecimal digits");
  }
  *out = *value;
}

void ReadArray(const JsonCursor& at, const ArrayElementReader& read) {
  if (*at.error) return;
  if (!at.value->is_array()) return SetTypeError(at, "an array");
  std::size_t n = 0;
  for (const auto& element : *at.value) {
    read({&element, at.path + "[" + std::to_string(n++) + "]", at.error});
  }
}

void ReadItems(const JsonCursor& at, const ArrayElementReader& read,
               const RefusedElementReader& refuse) {
  ReadArray(at, [&](const JsonCursor& element) {
    std::optional<JsonError> error;
    const JsonCursor item{element.value, element.path, &error};
    read(item);
    if (error) refuse(element, *error);
  });
}

void ReadObject(const JsonCursor& at, const ObjectFieldReader& read) {
  if (*at.error) return;
  if (!at.value->is_object()) return SetTypeError(at, "an object");
  for (const auto& [name, value] : at.value->items()) {
    const auto path = at.path.empty() ? name : at.path + "." + name;
    read(name, {&value, path, at.error});
  }
}

std::optional<JsonCursor> Field(const JsonCursor& at, const char* name,
                                Presence presence) {
  if (*at.error) return std::nullopt;
  if (!at.value->is_object()) {
    SetTypeError(at, "an object");
    return std::nullopt;
  }
  auto path = at.path.empty() ? std::string(name) : at.path + "." + name;
  const auto it = at.value->find(name);
  if (it != at.value->end()) return JsonCursor{&*it, path, at.error};
  if (presence == Presence::kRequired) {
    SetError({at.value, path, at.error}, JsonErrorKind::kMissing, "is missing",
             "add this field");
  }
  return std::nullopt;
}

}  // namespace dottereltrack
