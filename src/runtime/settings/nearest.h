#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dottereltrack {

// Number of inserted, removed or replaced characters between two texts.
std::size_t EditDistance(std::string_view a, std::string_view b);

// The name with the least edit distance; empty if there are no names.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names);

}  // namespace dottereltrack
