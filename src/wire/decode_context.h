#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "wire/codec.h"

namespace dottereltrack {

// Tracks the remaining memory budget and the first error while one frame is
// decoded. The budget is needed because a frame can refer to one element many
// times, so that the frame size alone does not bound the decoded size.
class DecodeContext {
 public:
  explicit DecodeContext(std::size_t frame_bytes);

  // Reserves memory for `count` elements from the budget. Records an error
  // and returns false if the budget is exceeded or an error was recorded
  // before.
  bool TryReserve(std::size_t count, std::size_t element_bytes);
  // Records an error. Only the first error is kept.
  void RecordError(WireErrorKind kind, std::string message);
  bool has_error() const { return error_.has_value(); }
  const std::optional<WireError>& error() const { return error_; }

 private:
  std::size_t budget_bytes_;
  std::optional<WireError> error_;
};

}  // namespace dottereltrack
