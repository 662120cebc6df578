#pragma once

#include <string>
#include <string_view>

namespace dottereltrack {

// Percent-encodes all bytes except letters, digits, '-', '.', '_' and '~', so
// that a text can stand in the query of a URL (RFC 3986, section 2.3).
std::string UrlEncode(std::string_view text);

}  // namespace dottereltrack
