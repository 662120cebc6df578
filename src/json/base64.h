#pragma once

#include <optional>
#include <string>

namespace dottereltrack {

// Base64 with padding, without line breaks.
std::string ToBase64(const std::string& bytes);
// Nothing if the text is not exactly that.
std::optional<std::string> FromBase64(const std::string& text);

}  // namespace dottereltrack
