#include "runtime/link.h"

#include <netinet/tcp.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

namespace dottereltrack {
namespace {

using asio::ip::tcp;

// Maximum bytes per socket read. An event loop iteration makes at most
// kMaxReadsPerTurn reads from one link, so that no peer starves the others.
constexpr std::size_t kMaxReadBytes = 64U << 10;
constexpr int kMaxReadsPerTurn = 4;

// A written buffer with a larger capacity is freed to limit the memory of idle
// links.
constexpr std::size_t kMaxIdleCapacityBytes = 4'096;

// TCP keepalive detects a machine that disappeared without closing its
// connections after 5 s + 3 * 2 s. The timeouts in the core only cover the
// links of the dispatcher.
constexpr int kKeepaliveIdleSeconds = 5;
constexpr int kKeepaliveIntervalSeconds = 2;
constexpr int kKeepaliveProbes = 3;

template <int name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, name>;

// Errors are ignored because the link also works without these options.
void SetOptions(tcp::socket* socket) {
  asio::error_code ec;
  socket->set_option(tcp::no_delay(true), ec);
  socket->set_option(asio::socket_base::keep_alive(true), ec);
  socket->set_option(TcpOption<TCP_KEEPIDLE>(kKeepaliveIdleSeconds), ec);
  socket->set_option(TcpOption<TCP_KEEPINTVL>(kKeepaliveIntervalSeconds), ec);
  socket->set_option(TcpOption<TCP_KEEPCNT>(kKeepaliveProbes), ec);
}

}  // namespace

Link::Link(tcp::socket socket, const LinkLimits& limits,
           std::shared_ptr<ReceptionCounter> counter, Handlers handlers)
    : socket_(std::move(socket)),
      close_timer_(socket_.get_executor()),
      limits_(limits),
      counter_(std::move(counter)),
      handlers_(std::move(handlers)),
      receive_buffer_(limits.max_frame_bytes) {
  SetOptions(&socket_);
  asio::error_code ec;
  socket_.non_blocking(true, ec);
}

void Link::StartReading() {
  counter_->Open([this](const ReceptionRow&) { Abort(); });
  if (state_ != State::kClosed) WaitForBytes();
}

void Link::UpdateCounter() {
  counter_->SetLinkBytes(receive_buffer_.unread_bytes(),
                         send_queue_.size() + write_buffer_.size());
}

void Link::WaitForBytes() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](asio::error_code ec) {
                       if (self->state_ == State::kClosed) return;
                       if (ec) return self->CloseSocket();
                       self->ReadBytes();
                     });
}

void Link::ReadBytes() {
  // Shared by all links on the thread, since no data stays in it between calls.
  static thread_local std::array<char, kMaxReadBytes> buf;
  for (int n = 0; n < kMaxReadsPerTurn; ++n) {
    asio::error_code ec;
    const std::size_t count = socket_.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block) break;
    if (ec) return CloseSocket();
    if (state_ == State::kOpen) receive_buffer_.Append({buf.data(), count});
    DeliverFrames();
    if (state_ == State::kClosed) return;
    if (count < buf.size()) break;
  }
  WaitForBytes();
}

void Link::DeliverFrames() {
  bool has_frame = false;
  while (state_ == State::kOpen) {
    auto frame = receive_buffer_.TakeFrame();
    if (!frame) break;
    has_frame = true;
    handlers_.on_frame(*std::move(frame));
    // A handler closes the link after an invalid frame.
    if (state_ == State::kOpen) counter_->SetKnownPeer();
  }
  if (!has_frame && state_ == State::kOpen && handlers_.on_partial_frame) {
    handlers_.on_partial_frame();
  }
  if (state_ == State::kOpen && receive_buffer_.is_next_frame_too_large()) {
    return CloseSocket();
  }
  receive_buffer_.ReleaseConsumed();
  if (state_ != State::kClosed) UpdateCounter();
}

void Link::Send(std::string_view frame) {
  if (state_ != State::kOpen) return;
  const std::size_t unsent_bytes = send_queue_.size() + write_buffer_.size();
  // A frame that is too large for the peer also ends the link: dropping it
  // silently would leave the receiver waiting for it.
  if (frame.size() > limits_.max_frame_bytes ||
      unsent_bytes + frame.size() > limits_.max_unsent_bytes) {
    return CloseSocket();
  }
  AppendFrame(&send_queue_, frame);
  ScheduleWrite();
  UpdateCounter();
}

// Defers the write until the current handler returns, so that all frames sent
// by that handler leave in one write.
void Link::ScheduleWrite() {
  if (is_write_scheduled_ || !write_buffer_.empty()) return;
  is_write_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->is_write_scheduled_ = false;
    self->Write();
  });
}

void Link::Write() {
  if (state_ == State::kClosed) return;
  if (send_queue_.empty()) {
    if (state_ == State::kDraining) ShutDownSending();
    return;
  }
  std::swap(send_queue_, write_buffer_);
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this()](asio::error_code ec, std::size_t) {
        self->write_buffer_.clear();
        if (self->write_buffer_.capacity() > kMaxIdleCapacityBytes) {
          self->write_buffer_.shrink_to_fit();
        }
        if (self->state_ == State::kClosed) return;
        if (ec) return self->CloseSocket();
        self->UpdateCounter();
        if (self->state_ == State::kClosed) return;
        self->Write();
      });
}

void Link::Close() {
  if (state_ != State::kOpen) return;
  state_ = State::kDraining;
  close_timer_.expires_after(limits_.dial_timeout);
  close_timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) self->CloseSocket();
  });
  ScheduleWrite();
}

void Link::ShutDownSending() {
  asio::error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) CloseSocket();
}

void Link::CloseSocket() {
  if (state_ == State::kClosed) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->handlers_.on_closed) self->handlers_.on_closed();
    self->handlers_ = {};
  });
  state_ = State::kClosed;
  counter_->Remove();
  asio::error_code ec;
  close_timer_.cancel(ec);
  socket_.close(ec);
}

void Link::Abort() {
  if (state_ == State::kClosed) return;
  asio::error_code ec;
  // With a linger time of zero the kernel discards unsent bytes and sends a
  // reset.
  socket_.set_option(asio::socket_base::linger(true, 0), ec);
  CloseSocket();
}

void Link::CloseSilently() {
  state_ = State::kClosed;
  counter_->Remove();
  handlers_ = {};
  asio::error_code ec;
  close_timer_.cancel(ec);
  socket_.close(ec);
}

}  // namespace dottereltrack
