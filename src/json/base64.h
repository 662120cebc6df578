#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dottereltrack {

// Encodes as Base64 with padding and without line breaks.
std::string ToBase64(const std::string& bytes);
// Decodes this format; std::nullopt if the text deviates from it.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace dottereltrack
