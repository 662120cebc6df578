#include "runtime/settings/nearest.h"

#include <algorithm>
#include <numeric>

namespace dottereltrack {

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t n = 1; n <= a.size(); ++n) {
    std::size_t diagonal = row[0];
    row[0] = n;
    for (std::size_t m = 1; m <= b.size(); ++m) {
      const std::size_t replaced = diagonal + (a[n - 1] == b[m - 1] ? 0 : 1);
      diagonal = row[m];
      row[m] = std::min({replaced, row[m] + 1, row[m - 1] + 1});
    }
  }
  return row[b.size()];
}

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names) {
  const auto it =
      std::min_element(names.begin(), names.end(),
                       [&](const std::string& a, const std::string& b) {
                         return EditDistance(name, a) < EditDistance(name, b);
                       });
  return it == names.end() ? std::string() : *it;
}

}  // namespace dottereltrack
