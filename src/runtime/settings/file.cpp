#include "runtime/settings/file.h"

#include <fstream>
#include <iterator>

namespace dottereltrack {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (file.bad()) return std::nullopt;
  return text;
}

}  // namespace dottereltrack
