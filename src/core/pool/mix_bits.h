#pragma once

#include <cstdint>

namespace dottereltrack::pool {

// Spreads close values evenly. Finalizer of SplitMix64 (Steele, Lea and Flood,
// 2014).
constexpr std::uint64_t MixBits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9;
  x ^= x >> 27;
  x *= 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Increment of SplitMix64. Added to a value first, since MixBits(0) is 0.
inline constexpr std::uint64_t kMixIncrement = 0x9e3779b97f4a7c15;

}  // namespace dottereltrack::pool
