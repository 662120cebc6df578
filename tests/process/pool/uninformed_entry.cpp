// Acts as an entry that does not know of evacuations: uninformed_entry IP PORT.
// Sends one start to each agent that links to it, also if the agent accepts
// none, and prints "DATA_CENTRE REFUSAL" or "DATA_CENTRE started" for each.

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

#include "pool_wire/codec.h"
#include "runtime/clock.h"
#include "runtime/link_hub.h"

namespace {

using namespace dottereltrack;        // NOLINT(google-build-using-namespace)
using namespace dottereltrack::pool;  // NOLINT(google-build-using-namespace)

// Below the agents' link timeout of 500 ms.
constexpr milliseconds kPingInterval{100};
// Duration in seconds, processors and outcome, as the stand-in for minions
// reads them.
constexpr const char* kPayload = "0.1 1000 done";

class UninformedEntry {
 public:
  explicit UninformedEntry(asio::io_context& loop)
      : links_(loop, LinkLimits{},
               {[this](LinkId link, const std::string& frame) {
                  const auto message = DecodeFrame(frame);
                  if (message) OnMessage(link, message.value());
                },
                [this](LinkId link) { data_centres_.erase(link); }}),
        timer_(loop) {}

  bool Listen(const Endpoint& address) {
    return links_.Listen(address).has_value();
  }

  void PingAgents() {
    for (const auto& [link, name] : data_centres_) Send(link, Ping{});
    timer_.expires_after(kPingInterval);
    timer_.async_wait([this](const std::error_code& ec) {
      if (!ec) PingAgents();
    });
  }

 private:
  void Send(LinkId link, const Message& message) {
    links_.Send(link, EncodeFrame(message));
  }

  void OnMessage(LinkId link, const Message& message) {
    if (const auto* hello = std::get_if<AgentHello>(&message)) {
      const bool is_new = !data_centres_.contains(link);
      data_centres_[link] = hello->data_centre;
      if (!is_new) return;
      Send(link, EntryHello{kEntryId, {}});
      const auto number = static_cast<std::uint64_t>(WallNow().count());
      Send(link, StartRun{1,
                          {{link.value, 0, 0}, number},
                          std::string(kPayload),
                          {1'000, 10, 0},
                          milliseconds{100}});
    } else if (const auto* refused = std::get_if<StartRefused>(&message)) {
      std::cout << data_centres_[link] << " " << ToString(refused->refusal)
                << std::endl;
    } else if (std::holds_alternative<RunEnded>(message)) {
      std::cout << data_centres_[link] << " started" << std::endl;
    }
  }

  static constexpr std::uint64_t kEntryId = 1;

  LinkHub links_;
  asio::steady_timer timer_;
  std::map<LinkId, std::string> data_centres_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return EXIT_FAILURE;
  asio::io_context loop(1);
  UninformedEntry entry(loop);
  const auto port = static_cast<std::uint16_t>(std::atoi(argv[2]));
  if (!entry.Listen({argv[1], port})) return EXIT_FAILURE;
  entry.PingAgents();
  loop.run();
}
