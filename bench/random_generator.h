#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>

namespace dottereltrack::bench {

// Own distributions, because those of the standard library give different
// values in different implementations.
class RandomGenerator {
 public:
  explicit RandomGenerator(std::uint64_t seed) : random_(seed) {}

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  double LogUniform(double low, double high) {
    return low * std::pow(high / low, Uniform());
  }
  std::uint64_t UniformBelow(std::uint64_t n) { return random_() % n; }
  // Geometric distribution; at least 1.
  std::uint32_t GeometricSize(double mean) {
    if (mean <= 1) return 1;
    const double n = std::log1p(-Uniform()) / std::log1p(-1.0 / mean);
    return 1 + static_cast<std::uint32_t>(std::min(n, 1'099.0));
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace dottereltrack::bench
