#pragma once

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <string>

namespace dottereltrack {

enum class JsonErrorKind {
  // The text is not JSON.
  kMalformed,
  // The text exceeds a limit on its size.
  kTooLarge,
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
  // Number of bytes up to and including a syntax error; 0 for other errors.
  std::size_t byte = 0;
  friend bool operator==(const JsonError&, const JsonError&) = default;
};

template <typename T>
using JsonResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, JsonError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

}  // namespace dottereltrack
