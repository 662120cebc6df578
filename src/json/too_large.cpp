#include "json/too_large.h"

#include <cmath>
#include <cstdlib>
#include <string_view>

namespace dottereltrack {
namespace {

constexpr std::string_view kNumberCharacters = "0123456789+-.eE";
constexpr std::string_view kNull = "null";

JsonError TooLargeError(const std::string& problem) {
  return {JsonErrorKind::kTooLarge, "",
          "the text " + problem + "; send less at a time"};
}

// Returns the end of the string that begins at `start`.
std::size_t FindStringEnd(const std::string& text, std::size_t start) {
  std::size_t n = start + 1;
  while (n < text.size() && text[n] != '"') n += text[n] == '\\' ? 2 : 1;
  return n + 1;
}

bool IsTooLargeNumber(const std::string& digits) {
  return std::isinf(std::strtod(digits.c_str(), nullptr));
}

}  // namespace

JsonError TooManyBytesError(std::size_t max_bytes) {
  return TooLargeError("has more than " + std::to_string(max_bytes) + " bytes");
}

JsonError TooManyValuesError(std::size_t max_values) {
  return TooLargeError("has more than " + std::to_string(max_values) +
                       " values");
}

JsonError NotJsonError(std::size_t position) {
  return {JsonErrorKind::kMalformed, "",
          "the text is not JSON; write one JSON object", position};
}

std::string ReplaceTooLargeNumbers(std::string text) {
  std::size_t n = 0;
  while (n < text.size()) {
    if (text[n] == '"') {
      n = FindStringEnd(text, n);
      continue;
    }
    const bool is_number = text[n] == '-' || (text[n] >= '0' && text[n] <= '9');
    if (!is_number) {
      ++n;
      continue;
    }
    std::size_t end = text.find_first_not_of(kNumberCharacters, n);
    if (end == std::string::npos) end = text.size();
    if (IsTooLargeNumber(text.substr(n, end - n))) {
      text.replace(n, end - n, end - n, ' ');
      text.replace(n, kNull.size(), kNull);
    }
    n = end;
  }
  return text;
}

}  // namespace dottereltrack
