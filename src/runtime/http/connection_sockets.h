#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <utility>

namespace dottereltrack {

// Descriptor of the socket that was moved last on this thread.
inline int& LastMovedSocket() {
  static thread_local int descriptor = -1;
  return descriptor;
}

// A socket that notes its descriptor when it is moved. RESTinio hides the
// socket of a connection, but moves it into the connection right before it
// reports the connection as accepted, in the same call.
class TrackedSocket : public asio::ip::tcp::socket {
 public:
  using asio::ip::tcp::socket::socket;
  TrackedSocket(TrackedSocket&& other) noexcept
      : asio::ip::tcp::socket(std::move(other)) {
    LastMovedSocket() = native_handle();
  }
  TrackedSocket& operator=(TrackedSocket&& other) noexcept {
    asio::ip::tcp::socket::operator=(std::move(other));
    LastMovedSocket() = native_handle();
    return *this;
  }
  TrackedSocket(const TrackedSocket&) = delete;
  TrackedSocket& operator=(const TrackedSocket&) = delete;
  ~TrackedSocket() = default;
};

// The sockets of the open connections of a server.
class ConnectionSockets {
 public:
  // Must be called when the server reports a connection as accepted.
  void AddLastMoved(std::uint64_t connection) {
    sockets_[connection] = LastMovedSocket();
  }
  void Remove(std::uint64_t connection) { sockets_.erase(connection); }
  // Whether the connection is open and neither a reset nor the end of the
  // client's stream has arrived, even if data before it has not been read.
  // Costs one system call.
  bool IsOpen(std::uint64_t connection) const;

 private:
  std::map<std::uint64_t, int> sockets_;
};

}  // namespace dottereltrack
