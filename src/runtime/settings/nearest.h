#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dottereltrack {

// Returns the Levenshtein distance: the minimum number of inserted, removed or
// replaced characters that turn one string into the other.
std::size_t EditDistance(std::string_view a, std::string_view b);

// Returns the element of `names` with the smallest edit distance to `name`, or
// an empty string if there are none.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names);

}  // namespace dottereltrack
