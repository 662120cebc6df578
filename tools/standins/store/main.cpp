// Stand-in for the store, for tests and the demo.

#include <docopt/docopt.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "http/server.h"
#include "store/store_api.h"

namespace {

const char* const kUsage = R"(A key-value store in memory.

Usage:
  standin-store [--host=ADDRESS] [--port=PORT]
  standin-store --help

Options:
  --host=ADDRESS  IP address to listen on [default: 127.0.0.1].
  --port=PORT     TCP port; 0 takes a free one [default: 0].
)";

int Run(const std::vector<std::string>& arguments) {
  auto options = docopt::docopt(kUsage, arguments, /*help=*/true);
  asio::io_context loop;
  dottereltrack::standins::StoreApi api(loop);
  dottereltrack::standins::Server server(
      loop, {}, [&api](const auto& request, const auto& reply) {
        api.Handle(request, reply);
      });
  const auto host = options["--host"].asString();
  const auto port = server.Listen(
      host, static_cast<std::uint16_t>(options["--port"].asLong()));
  if (!port) {
    std::cerr << "[store] cannot listen on " << host
              << "; choose a free address and port\n";
    return 1;
  }
  std::cout << "listening on " << host << ":" << *port << std::endl;
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const std::error_code&, int) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "[store] " << error.what() << "; see --help\n";
    return 1;
  }
}
