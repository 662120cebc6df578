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
  // A link whose peer reads too slowly is closed at this size of unsent frames.
  std::size_t max_unsent_bytes = 64U << 20;
  std::size_t max_links = 4'096;
  milliseconds dial_timeout{1'000};
};

// What a process does with link events. All are called on the loop's thread.
struct LinkHandlers {
  std::function<void(LinkId, std::string frame)> on_frame;
  // Called once for each link, also when this side has closed it.
  std::function<void(LinkId)> on_closed;
};

// The TCP links of one process: length-prefixed frames in both directions. All
// frames that are sent in one turn of the loop leave in one write.
class LinkHub {
 public:
  LinkHub(asio::io_context& loop, const LinkLimits& limits,
          LinkHandlers handlers);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  // Listens on an IP address; port 0 takes a free one. Returns the port, or
  // nothing if the address cannot be used.
  std::optional<std::uint16_t> Listen(const Endpoint& address);
  // Connects and calls back with the link, or with nothing on failure.
  void Dial(const Endpoint& address,
            std::function<void(std::optional<LinkId>)> done);
  // Sends a frame. A frame for a closed link is dropped; the closing has been
  // or will be reported. A frame beyond the limits closes the link.
  void Send(LinkId link, std::string_view frame);
  // Sends what is queued, then closes.
  void Close(LinkId link);
  // Closes at once with a reset, so that nothing that is on its way in either
  // direction is delivered later.
  void Abort(LinkId link);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dottereltrack
