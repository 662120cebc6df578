#pragma once

#include <cstdint>
#include <string>

namespace dottereltrack::testing {

// Returns the JSON text with some of its values replaced, removed, wrapped or
// repeated, by numbers out of range and deep nesting among others. The result
// is valid JSON. Equal seeds give equal results.
std::string MutateJson(const std::string& text, std::uint64_t seed);

// Returns the text with some of its bytes changed, inserted or cut off.
std::string DamageText(std::string text, std::uint64_t seed);

}  // namespace dottereltrack::testing
