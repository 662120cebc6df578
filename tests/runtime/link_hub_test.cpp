#include "runtime/link_hub.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "runtime/frame_buffer.h"

namespace dottereltrack::testing {
namespace {

using asio::ip::tcp;

constexpr seconds kTestTimeout{10};
const Endpoint kAnyPort{"127.0.0.1", 0};

// A hub that records the events of its links.
struct RecordingHub {
  explicit RecordingHub(asio::io_context& loop, const LinkLimits& limits = {})
      : hub(loop, limits,
            {[this](LinkId link, std::string frame) {
               frames[link].push_back(std::move(frame));
               if (on_frame) on_frame(link);
             },
             [this](LinkId link) { ++closed[link]; },
             [this](LinkId) { ++partial_frames; }}) {}

  std::map<LinkId, std::vector<std::string>> frames;
  std::map<LinkId, int> closed;
  int partial_frames = 0;
  std::function<void(LinkId)> on_frame;
  LinkHub hub;
};

template <typename Condition>
bool RunUntil(asio::io_context& loop, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(milliseconds{50});
  }
  return condition();
}

LinkId DialFrom(asio::io_context& loop, RecordingHub& dialing_hub,
                std::uint16_t port) {
  std::optional<LinkId> link;
  dialing_hub.hub.Dial({"127.0.0.1", port},
                       [&](auto result) { link = result; });
  REQUIRE(RunUntil(loop, [&] { return link.has_value(); }));
  return *link;
}

// A peer that uses a plain socket.
tcp::socket ConnectRawSocket(asio::io_context& loop, std::uint16_t port) {
  tcp::socket socket(loop);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  return socket;
}

std::string WithLengthPrefix(std::string_view frame) {
  std::string bytes;
  AppendFrame(&bytes, frame);
  return bytes;
}

bool IsAtEnd(tcp::socket* socket) {
  char byte = 0;
  asio::error_code ec;
  socket->read_some(asio::buffer(&byte, 1), ec);
  return static_cast<bool>(ec);
}

}  // namespace

// Guards against frames that are truncated, merged or reordered.
TEST_CASE("frames of any size arrive whole and in order", "[links]") {
  const auto size = GENERATE(values<std::size_t>(
      {0, 1, 4, 65'531, 65'532, 65'533, 300'000, 8U << 20}));
  CAPTURE(size);
  asio::io_context loop(1);
  RecordingHub server(loop);
  RecordingHub client(loop);
  const auto port = server.hub.Listen(kAnyPort);
  REQUIRE(port.has_value());
  const LinkId link = DialFrom(loop, client, *port);
  const std::vector<std::string> sent{"first", std::string(size, 'x'), "last"};
  server.on_frame = [&](LinkId from) {
    server.hub.Send(from, server.frames[from].back());
  };
  for (const auto& frame : sent) client.hub.Send(link, frame);
  REQUIRE(RunUntil(loop, [&] { return client.frames[link].size() == 3; }));
  CHECK((client.frames[link] == sent));
  CHECK((server.frames.begin()->second == sent));
  CHECK(server.closed.empty());
}

// Guards against a link that counts as silent while a large frame arrives.
TEST_CASE("a part of a frame is reported", "[links]") {
  asio::io_context loop(1);
  RecordingHub server(loop);
  tcp::socket socket = ConnectRawSocket(loop, *server.hub.Listen(kAnyPort));
  const std::string bytes = WithLengthPrefix(std::string(1'000, 'x'));
  asio::write(socket, asio::buffer(bytes.substr(0, 500)));
  REQUIRE(RunUntil(loop, [&] { return server.partial_frames == 1; }));
  CHECK(server.frames.empty());
  asio::write(socket, asio::buffer(bytes.substr(500)));
  REQUIRE(RunUntil(loop, [&] { return !server.frames.empty(); }));
  CHECK(server.partial_frames == 1);
}

// Guards against the cost of one system call and one packet per frame.
TEST_CASE("the frames of one event loop iteration are sent in one write",
          "[links]") {
  asio::io_context loop(1);
  RecordingHub server(loop);
  server.on_frame = [&](LinkId from) {
    for (const char* frame : {"a", "bb", "ccc"}) server.hub.Send(from, frame);
  };
  tcp::socket socket = ConnectRawSocket(loop, *server.hub.Listen(kAnyPort));
  asio::write(socket, asio::buffer(WithLengthPrefix("go")));
  REQUIRE(RunUntil(loop, [&] { return socket.available() > 0; }));
  CHECK(socket.available() == WithLengthPrefix("a").size() +
                                  WithLengthPrefix("bb").size() +
                                  WithLengthPrefix("ccc").size());
}

// Guards against a misbehaving peer that makes a process allocate memory or
// keep a broken link open.
TEST_CASE("a link of a peer that breaks the protocol is closed", "[links]") {
  struct Row {
    const char* name;
    std::string bytes;
    bool closes_output;
    std::size_t frames;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"length above the limit", std::string("\x01\x04\x00\x00", 4), false, 0},
      {"largest length", std::string(4, '\xff'), false, 0},
      {"good frame, then too long",
       WithLengthPrefix("a") + std::string(4, '\xff'), false, 1},
      {"end inside the length", "\x01", true, 0},
      {"end inside a frame",
       WithLengthPrefix("whole") + WithLengthPrefix("part").substr(0, 6), true,
       1},
  }));
  CAPTURE(row.name);
  asio::io_context loop(1);
  LinkLimits limits;
  limits.max_frame_bytes = 1'024;
  RecordingHub server(loop, limits);
  tcp::socket socket = ConnectRawSocket(loop, *server.hub.Listen(kAnyPort));
  asio::write(socket, asio::buffer(row.bytes));
  if (row.closes_output) socket.shutdown(tcp::socket::shutdown_send);
  REQUIRE(RunUntil(loop, [&] { return !server.closed.empty(); }));
  CHECK(IsAtEnd(&socket));
  CHECK(server.closed.begin()->second == 1);
  std::size_t count = 0;
  for (const auto& [link, frames] : server.frames) count += frames.size();
  CHECK(count == row.frames);
}

// Guards against a daemon that keeps running without its port.
TEST_CASE("an address that cannot be used gives no port", "[links]") {
  asio::io_context loop(1);
  RecordingHub first(loop);
  const auto used = first.hub.Listen(kAnyPort);
  REQUIRE(used.has_value());
  struct Row {
    const char* name;
    Endpoint address;
  };
  const auto row = GENERATE_COPY(
      values<Row>({{"in use", {"127.0.0.1", *used}},
                   {"no address of this machine", {"192.0.2.1", 0}},
                   {"a host name", {"localhost", 0}},
                   {"empty", {"", 0}}}));
  CAPTURE(row.name);
  RecordingHub second(loop);
  CHECK_FALSE(second.hub.Listen(row.address).has_value());
}

// Guards against a failed dial whose callback is never called.
TEST_CASE("a failed dial calls back with nullopt", "[links]") {
  asio::io_context loop(1);
  std::uint16_t free_port = 0;
  {
    RecordingHub closed_hub(loop);
    free_port = *closed_hub.hub.Listen(kAnyPort);
  }
  const auto address = GENERATE_COPY(
      values<Endpoint>({{"127.0.0.1", free_port}, {"localhost", 1}, {"", 0}}));
  CAPTURE(address.host, address.port);
  RecordingHub client(loop);
  int calls = 0;
  client.hub.Dial(address, [&](std::optional<LinkId> link) {
    ++calls;
    CHECK_FALSE(link.has_value());
  });
  CHECK(calls == 0);
  REQUIRE(RunUntil(loop, [&] { return calls == 1; }));
}

// Guards against a dial that waits for minutes on a peer that does not answer.
TEST_CASE("a dial fails after its timeout", "[links]") {
  asio::io_context loop(1);
  tcp::acceptor acceptor(loop, tcp::v4());
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  // The kernel ignores further connection attempts once the accept queue is
  // full.
  acceptor.listen(0);
  std::vector<tcp::socket> fillers;
  for (int n = 0; n < 4; ++n) {
    fillers.emplace_back(loop, tcp::v4());
    fillers.back().async_connect(acceptor.local_endpoint(),
                                 [](asio::error_code) {});
  }
  loop.run_for(milliseconds{50});
  LinkLimits limits;
  limits.dial_timeout = milliseconds{100};
  RecordingHub client(loop, limits);
  std::optional<bool> connected;
  const auto begin = std::chrono::steady_clock::now();
  client.hub.Dial({"127.0.0.1", acceptor.local_endpoint().port()},
                  [&](auto link) { connected = link.has_value(); });
  REQUIRE(RunUntil(loop, [&] { return connected.has_value(); }));
  CHECK_FALSE(*connected);
  CHECK(std::chrono::steady_clock::now() - begin >= milliseconds{100});
}

// Guards against unbounded memory use when a peer reads too slowly.
TEST_CASE("a link with too many unsent bytes is closed", "[links]") {
  asio::io_context loop(1);
  LinkLimits limits;
  limits.max_unsent_bytes = 1U << 20;
  RecordingHub server(loop, limits);
  std::optional<LinkId> link;
  server.on_frame = [&](LinkId from) { link = from; };
  tcp::socket socket = ConnectRawSocket(loop, *server.hub.Listen(kAnyPort));
  asio::write(socket, asio::buffer(WithLengthPrefix("go")));
  REQUIRE(RunUntil(loop, [&] { return link.has_value(); }));
  int sent = 0;
  REQUIRE(RunUntil(loop, [&] {
    for (int n = 0; n < 20 && server.closed.empty(); ++n, ++sent) {
      server.hub.Send(*link, std::string(100'000, 'x'));
    }
    return !server.closed.empty();
  }));
  CHECK(sent < 1'000);
  loop.run_for(milliseconds{20});
  CHECK(server.closed[*link] == 1);
}

// Guards against a receiver that waits for a frame that can never be sent.
TEST_CASE("a frame above the limit closes the link", "[links]") {
  asio::io_context loop(1);
  LinkLimits limits;
  limits.max_frame_bytes = 100;
  RecordingHub server(loop, limits);
  RecordingHub client(loop, limits);
  const LinkId link = DialFrom(loop, client, *server.hub.Listen(kAnyPort));
  client.hub.Send(link, std::string(101, 'x'));
  CHECK(client.closed.empty());
  REQUIRE(RunUntil(loop, [&] { return !client.closed.empty(); }));
  CHECK(client.closed[link] == 1);
}

// Guards against connections that exhaust the file descriptors of the process.
TEST_CASE("a connection beyond the limit is closed", "[links]") {
  asio::io_context loop(1);
  LinkLimits limits;
  limits.max_links = 2;
  RecordingHub server(loop, limits);
  const auto port = *server.hub.Listen(kAnyPort);
  std::vector<tcp::socket> sockets;
  for (int n = 0; n < 3; ++n) sockets.push_back(ConnectRawSocket(loop, port));
  loop.run_for(milliseconds{50});
  for (int n = 0; n < 2; ++n) {
    asio::write(sockets[n], asio::buffer(WithLengthPrefix("x")));
  }
  REQUIRE(RunUntil(loop, [&] { return server.frames.size() == 2; }));
  CHECK(IsAtEnd(&sockets[2]));
  sockets[0].close();
  REQUIRE(RunUntil(loop, [&] { return server.closed.size() == 1; }));
  sockets[2] = ConnectRawSocket(loop, port);
  asio::write(sockets[2], asio::buffer(WithLengthPrefix("x")));
  CHECK(RunUntil(loop, [&] { return server.frames.size() == 3; }));
}

// Guards against results that are lost when a process closes its links.
TEST_CASE("closing a link sends what is queued", "[links]") {
  const auto size = GENERATE(values<std::size_t>({1, 4U << 20}));
  CAPTURE(size);
  asio::io_context loop(1);
  RecordingHub server(loop);
  RecordingHub client(loop);
  const LinkId link = DialFrom(loop, client, *server.hub.Listen(kAnyPort));
  client.hub.Send(link, std::string(size, 'x'));
  client.hub.Close(link);
  client.hub.Send(link, "after the close");
  REQUIRE(RunUntil(
      loop, [&] { return !client.closed.empty() && !server.closed.empty(); }));
  const auto& [server_link, frames] = *server.frames.begin();
  REQUIRE(frames.size() == 1);
  CHECK(frames[0].size() == size);
  CHECK(client.closed[link] == 1);
  CHECK(server.closed[server_link] == 1);
}

// Guards against a close that waits forever for a peer that does not read.
TEST_CASE("a close completes even if the peer does not close", "[links]") {
  asio::io_context loop(1);
  LinkLimits limits;
  limits.dial_timeout = milliseconds{100};
  RecordingHub server(loop, limits);
  server.on_frame = [&](LinkId from) {
    server.hub.Send(from, std::string(8U << 20, 'x'));
    server.hub.Close(from);
  };
  tcp::socket socket = ConnectRawSocket(loop, *server.hub.Listen(kAnyPort));
  asio::write(socket, asio::buffer(WithLengthPrefix("go")));
  REQUIRE(RunUntil(loop, [&] { return !server.closed.empty(); }));
}

// Guards against polling, and against callbacks into a destroyed owner.
TEST_CASE("an idle hub runs no handlers and a destroyed hub stops", "[links]") {
  asio::io_context loop(1);
  int calls = 0;
  {
    RecordingHub server(loop);
    RecordingHub client(loop);
    const auto port = *server.hub.Listen(kAnyPort);
    const LinkId link = DialFrom(loop, client, port);
    client.hub.Send(link, "x");
    REQUIRE(RunUntil(loop, [&] { return !server.frames.empty(); }));
    loop.restart();
    CHECK(loop.run_for(milliseconds{200}) == 0);
    client.hub.Send(link, "y");
    client.hub.Dial({"127.0.0.1", port}, [&](auto) { ++calls; });
  }
  loop.restart();
  loop.run_for(seconds{2});
  CHECK(loop.stopped());
  CHECK(calls == 0);
}

}  // namespace dottereltrack::testing
