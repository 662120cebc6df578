#include "runtime/http/connection_sockets.h"

#include <poll.h>

namespace dottereltrack {

bool ConnectionSockets::IsOpen(std::uint64_t connection) const {
  const auto it = sockets_.find(connection);
  if (it == sockets_.end()) return false;
  pollfd state{it->second, POLLRDHUP, 0};
  // POLLERR and POLLHUP are always reported. If the call fails, the next read
  // tells the state of the connection.
  return ::poll(&state, 1, 0) <= 0;
}

}  // namespace dottereltrack
