#include "wire/decode_context.h"

namespace dottereltrack {
namespace {

// Maximum ratio of decoded to encoded size. Valid frames stay below 6; lists of
// tasks with empty payloads come closest to it.
constexpr std::size_t kMaxExpansionRatio = 8;

// Lower bound of the budget, so that frames of a few bytes can allocate their
// strings.
constexpr std::size_t kMinBudgetBytes = 1024;

}  // namespace

DecodeContext::DecodeContext(std::size_t frame_bytes)
    : budget_bytes_(frame_bytes * kMaxExpansionRatio + kMinBudgetBytes) {}

bool DecodeContext::TryReserve(std::size_t count, std::size_t element_bytes) {
  if (has_error()) return false;
  if (count > budget_bytes_ / element_bytes) {
    RecordError(WireErrorKind::kMalformed,
                "the frame expands to more than " +
                    std::to_string(kMaxExpansionRatio) +
                    " times its size; check the sender");
    return false;
  }
  budget_bytes_ -= count * element_bytes;
  return true;
}

void DecodeContext::RecordError(WireErrorKind kind, std::string message) {
  if (!error_) error_ = WireError{kind, std::move(message)};
}

}  // namespace dottereltrack
