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
// kReadsPerTurn reads from one link, so that no peer starves the others.
constexpr std::size_t kReadBytes = 64U << 10;
constexpr int kReadsPerTurn = 4;

// A written buffer with a larger capacity is freed to limit the memory of idle
// links.
constexpr std::size_t kKeptBytes = 4'096;

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

Link::Link(tcp::socket socket, const LinkLimits& limits, Handlers handlers)
    : socket_(std::move(socket)),
      close_timer_(socket_.get_executor()),
      limits_(limits),
      handlers_(std::move(handlers)),
      incoming_(limits.max_frame_bytes) {
  SetOptions(&socket_);
  asio::error_code ec;
  socket_.non_blocking(true, ec);
}

void Link::Open() { WaitForBytes(); }

void Link::WaitForBytes() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](asio::error_code ec) {
                       if (self->state_ == State::kEnded) return;
                       if (ec) return self->End();
                       self->ReadBytes();
                     });
}

void Link::ReadBytes() {
  // Shared by all links on the thread, since no data stays in it between calls.
  static thread_local std::array<char, kReadBytes> buf;
  for (int n = 0; n < kReadsPerTurn; ++n) {
    asio::error_code ec;
    const std::size_t count = socket_.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block) break;
    if (ec) return End();
    if (state_ == State::kOpen) incoming_.Append({buf.data(), count});
    DeliverFrames();
    if (state_ == State::kEnded) return;
    if (count < buf.size()) break;
  }
  WaitForBytes();
}

void Link::DeliverFrames() {
  while (state_ == State::kOpen) {
    auto frame = incoming_.Next();
    if (!frame) break;
    handlers_.on_frame(*std::move(frame));
  }
  if (state_ == State::kOpen && incoming_.too_large()) return End();
  incoming_.Compact();
}

void Link::Send(std::string_view frame) {
  if (state_ != State::kOpen) return;
  const std::size_t unsent = queued_.size() + in_flight_.size();
  // A frame that is too large for the peer also ends the link: dropping it
  // silently would leave the receiver waiting for it.
  if (frame.size() > limits_.max_frame_bytes ||
      unsent + frame.size() > limits_.max_unsent_bytes) {
    return End();
  }
  AppendFrame(&queued_, frame);
  ScheduleWrite();
}

// Defers the write until the current handler returns, so that all frames sent
// by that handler leave in one write.
void Link::ScheduleWrite() {
  if (write_scheduled_ || !in_flight_.empty()) return;
  write_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->write_scheduled_ = false;
    self->Write();
  });
}

void Link::Write() {
  if (state_ == State::kEnded) return;
  if (queued_.empty()) {
    if (state_ == State::kDraining) EndOutput();
    return;
  }
  std::swap(queued_, in_flight_);
  asio::async_write(
      socket_, asio::buffer(in_flight_),
      [self = shared_from_this()](asio::error_code ec, std::size_t) {
        self->in_flight_.clear();
        if (self->in_flight_.capacity() > kKeptBytes) {
          self->in_flight_.shrink_to_fit();
        }
        if (self->state_ == State::kEnded) return;
        if (ec) return self->End();
        self->Write();
      });
}

void Link::Close() {
  if (state_ != State::kOpen) return;
  state_ = State::kDraining;
  close_timer_.expires_after(limits_.dial_timeout);
  close_timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) self->End();
  });
  ScheduleWrite();
}

void Link::EndOutput() {
  asio::error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) End();
}

void Link::End() {
  if (state_ == State::kEnded) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->handlers_.on_closed) self->handlers_.on_closed();
    self->handlers_ = {};
  });
  state_ = State::kEnded;
  asio::error_code ec;
  close_timer_.cancel(ec);
  socket_.close(ec);
}

void Link::Abort() {
  if (state_ == State::kEnded) return;
  asio::error_code ec;
  // With a linger time of zero the kernel discards unsent bytes and sends a
  // reset.
  socket_.set_option(asio::socket_base::linger(true, 0), ec);
  End();
}

void Link::Drop() {
  state_ = State::kEnded;
  handlers_ = {};
  asio::error_code ec;
  close_timer_.cancel(ec);
  socket_.close(ec);
}

}  // namespace dottereltrack
