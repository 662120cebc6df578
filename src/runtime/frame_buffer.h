#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dottereltrack {

// Size of the little-endian length prefix of a frame.
inline constexpr std::size_t kLengthPrefixBytes = 4;

// Appends the length prefix and the frame to a send buffer.
void AppendFrame(std::string* to, std::string_view frame);

// Splits the received byte stream into frames. Memory use depends on the bytes
// received, not on the frame lengths announced by the peer.
class FrameBuffer {
 public:
  explicit FrameBuffer(std::size_t max_frame_bytes)
      : max_frame_bytes_(max_frame_bytes) {}

  void Append(std::string_view bytes);
  // Removes and returns the next complete frame, or nullopt if more bytes are
  // needed.
  std::optional<std::string> TakeFrame();
  // True if the next frame exceeds the size limit. The link must then be
  // closed.
  bool is_next_frame_too_large() const { return is_next_frame_too_large_; }
  // Bytes of the frames that have not been returned.
  std::size_t unread_bytes() const { return bytes_.size() - read_offset_; }
  // Frees the memory of frames already returned by TakeFrame().
  void ReleaseConsumed();

 private:
  std::size_t max_frame_bytes_;
  std::string bytes_;
  std::size_t read_offset_ = 0;
  bool is_next_frame_too_large_ = false;
};

}  // namespace dottereltrack
