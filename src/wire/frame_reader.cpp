#include "wire/frame_reader.h"

namespace dottereltrack {
namespace {

// Maximum ratio of decoded to encoded size. Valid frames stay below 6; lists of
// tasks with empty payloads come closest to it.
constexpr std::size_t kMaxExpansion = 8;

// Lower bound of the budget, so that frames of a few bytes can allocate their
// strings.
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
