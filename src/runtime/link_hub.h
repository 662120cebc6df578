#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/cell.h"
#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack {

// Limits of the TCP links of one process.
struct LinkLimits {
  std::size_t max_frame_bytes = 8U << 20;
  // A link is closed when its unsent frames exceed this size because the peer
  // reads too slowly.
  std::size_t max_unsent_bytes = 64U << 20;
  std::size_t max_links = 4'096;
  milliseconds dial_timeout{1'000};
};

// Callbacks for link events, called on the event loop's thread.
struct LinkHandlers {
  std::function<void(LinkId, std::string frame)> on_frame;
  // Called once for each link, including links closed by this process.
  std::function<void(LinkId)> on_closed;
  // Called when bytes have been received that do not complete a frame, so that
  // a large frame on a slow link does not make the link look silent. May be
  // empty.
  std::function<void(LinkId)> on_partial_frame{};
};

// The TCP links of one process, which carry length-prefixed frames in both
// directions. All frames sent on a link in one event loop iteration are written
// together.
class LinkHub {
 public:
  LinkHub(asio::io_context& loop, const LinkLimits& limits,
          LinkHandlers handlers);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  // Listens on an IP address; port 0 selects a free port. Returns the port, or
  // nullopt if the address cannot be used.
  std::optional<std::uint16_t> Listen(const Endpoint& address);
  // Connects, then calls `done` with the link, or with nullopt on failure.
  void Dial(const Endpoint& address,
            std::function<void(std::optional<LinkId>)> done);
  // Sends a frame. A frame for a closed link is dropped; on_closed has been or
  // will be called for that link. A frame that exceeds the limits closes the
  // link.
  void Send(LinkId link, std::string_view frame);
  // Sends the queued frames, then closes.
  void Close(LinkId link);
  // Closes immediately with a TCP reset, so that no frame in transit in either
  // direction is delivered later.
  void Abort(LinkId link);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dottereltrack
