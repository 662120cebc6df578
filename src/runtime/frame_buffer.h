#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dottereltrack {

// Bytes of the length prefix, which is little-endian.
inline constexpr std::size_t kPrefixBytes = 4;

// Appends the prefix and the frame to bytes that wait to be sent.
void AppendFrame(std::string* to, std::string_view frame);

// Collects received bytes and cuts them into frames. Memory grows only with the
// bytes that have arrived, not with the lengths that a peer announces.
class FrameBuffer {
 public:
  explicit FrameBuffer(std::size_t max_frame_bytes)
      : max_frame_bytes_(max_frame_bytes) {}

  void Append(std::string_view bytes);
  // The next whole frame; empty if more bytes are needed.
  std::optional<std::string> Next();
  // Whether the next frame is longer than the limit. The link must be closed.
  bool too_large() const { return too_large_; }
  // Frees the memory of frames that have been taken.
  void Compact();

 private:
  std::size_t max_frame_bytes_;
  std::string bytes_;
  std::size_t begin_ = 0;
  bool too_large_ = false;
};

}  // namespace dottereltrack
