// Acts as an entry that does not know of evacuations: uninformed_entry IP PORT.
// Sends one start to each agent that links to it, also if the agent accepts
// none, and prints "DATA_CENTRE REFUSAL" or "DATA_CENTRE started" for each.

#include <asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <map>

#include "pool_wire/codec.h"
#include "runtime/clock.h"
#include "runtime/link_hub.h"

int main(int argc, char** argv) {
  using namespace dottereltrack;        // NOLINT(google-build-using-namespace)
  using namespace dottereltrack::pool;  // NOLINT(google-build-using-namespace)
  if (argc != 3) return EXIT_FAILURE;
  asio::io_context loop(1);
  std::map<LinkId, std::string> data_centres;
  LinkHub* links = nullptr;
  const auto on_message = [&](LinkId link, const Message& message) {
    const auto send = [&](const Message& m) {
      links->Send(link, EncodeFrame(m));
    };
    if (const auto* hello = std::get_if<AgentHello>(&message)) {
      if (!data_centres.emplace(link, hello->data_centre).second) return;
      const auto number = static_cast<std::uint64_t>(WallNow().count());
      send(EntryHello{1, {}});
      // The stand-in reads duration in seconds, processors and outcome.
      send(StartRun{1,
                    {{link.value, 0, 0}, number},
                    std::string("0.1 1000 done"),
                    {1'000, 10, 0},
                    milliseconds{100}});
    } else if (const auto* refused = std::get_if<StartRefused>(&message)) {
      std::cout << data_centres[link] << " " << ToString(refused->refusal)
                << std::endl;
    } else if (std::holds_alternative<RunEnded>(message)) {
      std::cout << data_centres[link] << " started" << std::endl;
    } else {
      // Each ping or report of the agent is answered, so that the link lives.
      send(Ping{});
    }
  };
  LinkHub hub(loop, LinkLimits{},
              {[&](LinkId link, const std::string& frame) {
                 const auto message = DecodeFrame(frame);
                 if (message) on_message(link, message.value());
               },
               [](LinkId) {}});
  links = &hub;
  const auto port = static_cast<std::uint16_t>(std::atoi(argv[2]));
  if (!hub.Listen({argv[1], port})) return EXIT_FAILURE;
  loop.run();
}
