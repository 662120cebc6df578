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
#include "runtime/reception/reception_table.h"

namespace dottereltrack {

// One connected socket of a LinkHub. The link ends on a read or write error, at
// the end of the stream, when a frame or the send queue exceeds its limit, or
// after Close() or Abort(). It ends only once.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Handlers {
    std::function<void(std::string frame)> on_frame;
    // Part of a frame has been received. May be empty.
    std::function<void()> on_partial_frame;
    // Called once, and never from within a member function of Link.
    std::function<void()> on_closed;
  };

  // `counter` counts what the link holds.
  Link(asio::ip::tcp::socket socket, const LinkLimits& limits,
       std::shared_ptr<ReceptionCounter> counter, Handlers handlers);

  void StartReading();
  void Send(std::string_view frame);
  // Sends the queued frames, then closes, at the latest after the dial timeout.
  void Close();
  // Resets the connection immediately.
  void Abort();
  // Closes immediately without calling any handler.
  void CloseSilently();

 private:
  // kDraining: no more frames are sent or delivered. The link writes its queue
  // and waits until the peer ends the stream, because closing a socket with
  // unread bytes makes the kernel discard data the peer has not read yet.
  enum class State { kOpen, kDraining, kClosed };

  void WaitForBytes();
  void ReadBytes();
  void DeliverFrames();
  void ScheduleWrite();
  void Write();
  void ShutDownSending();
  void CloseSocket();
  void UpdateCounter();

  asio::ip::tcp::socket socket_;
  asio::steady_timer close_timer_;
  LinkLimits limits_;
  std::shared_ptr<ReceptionCounter> counter_;
  Handlers handlers_;
  State state_ = State::kOpen;
  FrameBuffer receive_buffer_;
  std::string send_queue_;
  // The bytes being written; empty while no write is in progress.
  std::string write_buffer_;
  bool is_write_scheduled_ = false;
};

}  // namespace dottereltrack
