#include "wire/frame_reader.h"

namespace dottereltrack {
namespace {

// Decoded size over encoded size. Frames of honest senders stay below 6; that
// is reached by lists of tasks with empty payloads.
constexpr std::size_t kMaxExpansion = 8;

// Lets frames of a few bytes allocate their first strings.
constexpr std::size_t kMinBudgetBytes = 1024;

}  // namespace

FrameReader::FrameReader(std::size_t frame_bytes)
    : budget_(frame_bytes * kMaxExpansion + kMinBudgetBytes) {}

bool FrameReader::Charge(std::size_t count, std::size_t element_bytes) {
  if (failed()) return false;
  if (count > budget_ / element_bytes) {
    Fail(WireErrorKind::kMalformed, "the frame expands to more than " +
                                        std::to_string(kMaxExpansion) +
                                        " times its size; check the sender");
    return false;
  }
  budget_ -= count * element_bytes;
  return true;
}

void FrameReader::Fail(WireErrorKind kind, std::string message) {
  if (!error_) error_ = WireError{kind, std::move(message)};
}

}  // namespace dottereltrack
