#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/ids.h"
#include "runtime/frame_buffer.h"
#include "runtime/link_hub.h"

namespace dottereltrack {

// One connected socket of a LinkHub. Ends once, on a read or write error, at
// the end of the stream, on a frame or a queue beyond the limits, or after
// Close.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Handlers {
    std::function<void(std::string frame)> on_frame;
    // Called once, never from inside a call on this object.
    std::function<void()> on_closed;
  };

  Link(asio::ip::tcp::socket socket, const LinkLimits& limits,
       Handlers handlers);

  // Begins to read.
  void Open();
  void Send(std::string_view frame);
  // Sends what is queued, then closes, at the latest after the dial timeout.
  void Close();
  // Resets the connection at once.
  void Abort();
  // Closes at once and calls no handler any more.
  void Drop();

 private:
  // kDraining: frames are no longer taken or delivered; the queue is written
  // and the peer's end of the stream awaited, because a close with unread bytes
  // would make the kernel discard what the peer has not read yet.
  enum class State { kOpen, kDraining, kEnded };

  void WaitForBytes();
  void ReadBytes();
  void DeliverFrames();
  void ScheduleWrite();
  void Write();
  void EndOutput();
  void End();

  asio::ip::tcp::socket socket_;
  asio::steady_timer close_timer_;
  LinkLimits limits_;
  Handlers handlers_;
  State state_ = State::kOpen;
  FrameBuffer incoming_;
  std::string queued_;
  // Being written; empty while no write is scheduled or under way.
  std::string in_flight_;
  bool write_scheduled_ = false;
};

}  // namespace dottereltrack
