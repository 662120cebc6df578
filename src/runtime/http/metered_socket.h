#pragma once

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>

#include "runtime/http/connection_sockets.h"
#include "runtime/reception/reception_table.h"

namespace dottereltrack {

// Returns the response for an unfinished request that is refused.
inline std::string RefusalOfUnfinishedRequest() {
  const std::string body =
      "the request was not run: it was incomplete when the memory or the "
      "connections of this process were exhausted, or it arrived too slowly; "
      "send it again\n";
  return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n"
         "Retry-After: 1\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A socket for the HTTP server that counts what is read in the event loop's
// ReceptionTable and ends its connection when that table closes it. Its first
// read takes the counter that was offered for the connection.
class MeteredSocket : public TrackedSocket {
 public:
  explicit MeteredSocket(asio::io_context& loop)
      : TrackedSocket(loop), table_(&ReceptionTable::Of(loop)) {}
  MeteredSocket(MeteredSocket&&) = default;
  MeteredSocket& operator=(MeteredSocket&&) = default;
  ~MeteredSocket() {
    if (counter_) counter_->Remove();
  }

  template <typename Buffer, typename Handler>
  // The HTTP server calls it by the name of the base class.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void async_read_some(const Buffer& buffer, Handler handler) {
    TakeCounter();
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    asio::ip::tcp::socket::async_read_some(
        buffer,
        asio::bind_executor(
            executor, [counter = counter_, data = buffer.data(),
                       handler = std::move(handler)](asio::error_code ec,
                                                     std::size_t n) mutable {
              if (counter) {
                if (!ec) {
                  counter->AddReceived({static_cast<const char*>(data), n});
                }
                if (counter->is_closing()) {
                  ec = asio::error::connection_aborted;
                  n = 0;
                }
              }
              handler(ec, n);
            }));
  }

 private:
  // The connection does not move its socket after its first read.
  void TakeCounter() {
    if (counter_) return;
    counter_ = table_->TakeOfferedCounter();
    if (!counter_) return;
    counter_->Open([this](const ReceptionRow& row) { Refuse(row); });
  }

  // Ends the pending read and later ones.
  void Refuse(const ReceptionRow& row) {
    asio::error_code ec;
    if (row.received_bytes > 0 && row.open_requests == 0) {
      const std::string refusal = RefusalOfUnfinishedRequest();
      non_blocking(true, ec);
      write_some(asio::buffer(refusal), ec);
    }
    shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  }

  ReceptionTable* table_;
  std::shared_ptr<ReceptionCounter> counter_;
};

}  // namespace dottereltrack
