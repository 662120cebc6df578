#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>

#include "runtime/frame_buffer.h"
#include "runtime/link_hub.h"
#include "runtime/reception/reception_table.h"

namespace dottereltrack {
namespace {

using asio::ip::tcp;

constexpr std::size_t kUnfinishedBytes = 300'000;

std::string WithLengthPrefix(std::string_view frame) {
  std::string bytes;
  AppendFrame(&bytes, frame);
  return bytes;
}

tcp::socket Connect(asio::io_context& loop, std::uint16_t port) {
  tcp::socket socket(loop);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  return socket;
}

}  // namespace

// Guards against links of this system's processes that are closed because
// strangers send unfinished frames.
TEST_CASE("strangers' frames are closed and a known peer's are not",
          "[links][reception]") {
  asio::io_context loop(1);
  ReceptionLimits limits{1'000'000, 1'000'000, 1'000'000, 1U << 30, 100, 0};
  std::size_t closed_for_limit = 0;
  ReceptionTable::Of(loop).SetLimits(limits, [&](const ClosedConnection& it) {
    CHECK_FALSE(it.row.is_known_peer);
    ++closed_for_limit;
  });
  std::multiset<std::size_t> frame_sizes;
  LinkHub hub(loop, {},
              {[&](LinkId, const std::string& frame) {
                 frame_sizes.insert(frame.size());
               },
               [](LinkId) {}});
  const auto port = hub.Listen({"127.0.0.1", 0}).value();
  const auto run = [&](auto condition) {
    const auto end = std::chrono::steady_clock::now() + seconds{5};
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(milliseconds{50});
    }
    return condition();
  };

  tcp::socket known = Connect(loop, port);
  const std::string frame = WithLengthPrefix(std::string(400'000, 'x'));
  asio::write(known, asio::buffer(WithLengthPrefix("hello") +
                                  frame.substr(0, kUnfinishedBytes)));
  REQUIRE(run([&] {
    return ReceptionTable::Of(loop).memory_bytes() == 2 * kUnfinishedBytes;
  }));
  tcp::socket stranger = Connect(loop, port);
  asio::write(stranger, asio::buffer(frame.substr(0, kUnfinishedBytes)));
  REQUIRE(run([&] { return closed_for_limit == 1; }));
  asio::write(known, asio::buffer(frame.substr(kUnfinishedBytes)));
  CHECK(run([&] { return frame_sizes.count(400'000) == 1; }));
  CHECK(ReceptionTable::Of(loop).memory_bytes() == 0);
}

}  // namespace dottereltrack
