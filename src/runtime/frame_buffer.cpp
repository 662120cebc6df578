#include "runtime/frame_buffer.h"

#include <cstdint>

namespace dottereltrack {
namespace {

// An empty buffer with a larger capacity is freed to limit the memory of idle
// links.
constexpr std::size_t kMaxIdleCapacityBytes = 4'096;

std::size_t ReadLength(const char* from) {
  std::uint32_t length = 0;
  for (std::size_t n = 0; n < kLengthPrefixBytes; ++n) {
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(from[n]))
              << (8 * n);
  }
  return length;
}

}  // namespace

void AppendFrame(std::string* to, std::string_view frame) {
  for (std::size_t n = 0; n < kLengthPrefixBytes; ++n) {
    to->push_back(static_cast<char>((frame.size() >> (8 * n)) & 0xff));
  }
  to->append(frame);
}

void FrameBuffer::Append(std::string_view bytes) { bytes_.append(bytes); }

std::optional<std::string> FrameBuffer::TakeFrame() {
  const std::size_t available = bytes_.size() - read_offset_;
  if (is_next_frame_too_large_ || available < kLengthPrefixBytes) {
    return std::nullopt;
  }
  const std::size_t length = ReadLength(bytes_.data() + read_offset_);
  if (length > max_frame_bytes_) {
    is_next_frame_too_large_ = true;
    return std::nullopt;
  }
  if (available < kLengthPrefixBytes + length) return std::nullopt;
  std::string frame = bytes_.substr(read_offset_ + kLengthPrefixBytes, length);
  read_offset_ += kLengthPrefixBytes + length;
  return frame;
}

void FrameBuffer::ReleaseConsumed() {
  bytes_.erase(0, read_offset_);
  read_offset_ = 0;
  if (bytes_.empty() && bytes_.capacity() > kMaxIdleCapacityBytes) {
    bytes_.shrink_to_fit();
  }
}

}  // namespace dottereltrack
