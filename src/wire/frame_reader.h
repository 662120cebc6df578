#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "wire/codec.h"

namespace dottereltrack {

// What the decoding of one frame may still allocate, and its first error. A
// frame can refer to one element many times, so its size alone does not bound
// what it expands to.
class FrameReader {
 public:
  explicit FrameReader(std::size_t frame_bytes);

  // Takes memory for `count` elements from the budget. False, with an error, if
  // there is not enough.
  bool Charge(std::size_t count, std::size_t element_bytes);
  // Records an error; only the first one is kept.
  void Fail(WireErrorKind kind, std::string message);
  bool failed() const { return error_.has_value(); }
  const std::optional<WireError>& error() const { return error_; }

 private:
  std::size_t budget_;
  std::optional<WireError> error_;
};

}  // namespace dottereltrack
