#include "runtime/http/http_server.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace dottereltrack {
namespace {

using asio::ip::tcp;

// A server that records its requests, on an event loop with a time limit.
struct Fixture {
  asio::io_context loop;
  std::vector<HttpRequest> requests;
  std::vector<HttpReplier> repliers;
  std::vector<std::uint64_t> disconnected;
  HttpServer server;
  std::uint16_t port = 0;

  explicit Fixture(const HttpLimits& limits = {})
      : server(loop, limits,
               {[this](HttpRequest request, HttpReplier reply) {
                  requests.push_back(std::move(request));
                  repliers.push_back(std::move(reply));
                },
                [this](std::uint64_t connection) {
                  disconnected.push_back(connection);
                },
                {}}) {
    port = server.Listen({"127.0.0.1", 0}).value();
  }

  // Runs the loop until the condition holds; returns false after two seconds.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    asio::steady_timer limit(loop, seconds{2});
    bool expired = false;
    // A cancelled wait may run after this function has returned.
    limit.async_wait([&](const asio::error_code& ec) {
      if (!ec) expired = true;
    });
    while (!condition() && !expired) loop.run_one();
    return condition();
  }

  tcp::socket Connect() {
    tcp::socket socket(loop);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    return socket;
  }

  // Everything the server sends until it closes the connection.
  std::string ReadAll(tcp::socket* socket) {
    std::string text;
    bool ended = false;
    asio::async_read(
        *socket, asio::dynamic_buffer(text),
        [&](const asio::error_code&, std::size_t) { ended = true; });
    CHECK(RunUntil([&] { return ended; }));
    return text;
  }
};

std::string MakePostRequest(std::size_t body_bytes) {
  return "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
         "X-Mixed-Case: Value\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

}  // namespace

// Guards against request data that does not reach the handler.
TEST_CASE("a request reaches the handler and its reply the caller", "[http]") {
  Fixture it;
  tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(MakePostRequest(3)));
  REQUIRE(it.RunUntil([&] { return it.requests.size() == 1; }));
  CHECK(it.requests[0].method == "POST");
  CHECK(it.requests[0].path == "/v1/jobs");
  CHECK(it.requests[0].body == "xxx");
  CHECK(GetHeader(it.requests[0], "x-mixed-case") == "Value");
  CHECK(GetHeader(it.requests[0], "absent").empty());

  it.repliers[0]({429, "{}", "application/json", {{"Retry-After", "1"}}});
  it.repliers[0]({200, "second reply", "text/plain", {}});
  const std::string text = it.ReadAll(&socket);
  CHECK(text.find("HTTP/1.1 429 Too Many Requests") == 0);
  CHECK(text.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(text.find("second reply") == std::string::npos);
}

// Guards against unbounded memory use by large bodies, and against a response
// that does not tell the caller the limit.
TEST_CASE("a body above the limit is rejected", "[http]") {
  struct Row {
    std::size_t body_bytes;
    std::string start;
  };
  const auto row = GENERATE(values<Row>({{101, "HTTP/1.1 413"}, {201, ""}}));
  CAPTURE(row.body_bytes);
  HttpLimits limits;
  limits.max_body_bytes = 100;
  Fixture it(limits);
  tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(MakePostRequest(row.body_bytes)));
  const std::string text = it.ReadAll(&socket);
  CHECK(text.substr(0, row.start.size()) == row.start);
  CHECK(text.empty() == row.start.empty());
  CHECK(it.requests.empty());
}

// Guards against work for a caller that has disconnected.
TEST_CASE("a closed connection is reported while its call is open", "[http]") {
  Fixture it;
  tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(MakePostRequest(1)));
  REQUIRE(it.RunUntil([&] { return it.requests.size() == 1; }));
  socket.close();
  REQUIRE(it.RunUntil([&] { return it.disconnected.size() == 1; }));
  CHECK(it.disconnected[0] == it.requests[0].connection);
  it.repliers[0]({});
}

// Guards against work for a caller whose connection has ended before its
// request is read: the request is handed on, and the end is reported only by a
// later read. Connections that the client has half closed are closed by the
// server.
TEST_CASE("a connection that has ended is known when its request is read",
          "[http][twice]") {
  struct Row {
    const char* name;
    void (*end)(tcp::socket* socket);
    bool is_connected;
  };
  const auto row = GENERATE(values<Row>({
      {"open", [](tcp::socket*) {}, true},
      {"more data",
       [](tcp::socket* it) { asio::write(*it, asio::buffer("P", 1)); }, true},
      {"reset",
       [](tcp::socket* it) {
         it->set_option(asio::socket_base::linger(true, 0));
         it->close();
       },
       false},
      {"closed", [](tcp::socket* it) { it->close(); }, false},
      {"half closed",
       [](tcp::socket* it) { it->shutdown(tcp::socket::shutdown_send); },
       false},
  }));
  CAPTURE(row.name);
  Fixture it;
  tcp::socket socket = it.Connect();
  // The server accepts the connection.
  while (it.loop.poll() > 0) continue;
  asio::write(
      socket,
      asio::buffer(std::string("GET /v1/jobs HTTP/1.1\r\nHost: a\r\n\r\n")));
  row.end(&socket);
  REQUIRE(it.RunUntil([&] { return it.requests.size() == 1; }));
  // The server has not noticed the end of the connection yet.
  REQUIRE(it.disconnected.empty());
  CHECK(it.server.IsConnected(it.requests[0].connection) == row.is_connected);
  if (row.is_connected) return;
  CHECK(it.RunUntil([&] { return it.disconnected.size() == 1; }));
  CHECK_FALSE(it.server.IsConnected(it.requests[0].connection));
}

// Guards against requests that are held for clients that have left: the server
// reads no further after four unanswered requests, so that it reads no end.
TEST_CASE("the end of a connection is noticed behind unanswered requests",
          "[http][twice]") {
  struct Row {
    int requests;
    bool is_closed;
  };
  const auto row = GENERATE(
      values<Row>({{1, true}, {4, true}, {9, true}, {4, false}, {9, false}}));
  CAPTURE(row.requests, row.is_closed);
  Fixture it;
  tcp::socket socket = it.Connect();
  std::string pipeline;
  for (int n = 0; n < row.requests; ++n) {
    pipeline += "GET /v1/jobs HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  asio::write(socket, asio::buffer(pipeline));
  const std::size_t read = std::min(row.requests, 4);
  REQUIRE(it.RunUntil([&] { return it.requests.size() == read; }));
  if (row.is_closed) socket.close();
  CHECK(it.RunUntil([&] { return it.disconnected.size() == 1; }) ==
        row.is_closed);
  // Responses of the handler have no effect any more, and an end is notified
  // once.
  for (const HttpReplier& replier : it.repliers) replier({});
  while (it.loop.poll() > 0) continue;
  CHECK(it.disconnected.size() == (row.is_closed ? 1U : 0U));
}

// Guards against a process that exits before its last response has been sent,
// and against one that waits for a response to a disconnected caller.
TEST_CASE("the server reports when all responses are sent", "[http]") {
  const bool caller_disconnects = GENERATE(false, true);
  Fixture it;
  tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(MakePostRequest(1)));
  REQUIRE(it.RunUntil([&] { return it.requests.size() == 1; }));
  if (caller_disconnects) {
    socket.close();
    REQUIRE(it.RunUntil([&] { return it.disconnected.size() == 1; }));
  }
  it.repliers[0]({200, std::string(1 << 20, 'x'), "text/plain", {}});
  bool sent = false;
  it.server.NotifyWhenAllSent([&] { sent = true; });
  if (!caller_disconnects) {
    CHECK(it.ReadAll(&socket).size() > (1 << 20));
  }
  CHECK(it.RunUntil([&] { return sent; }));
}

// Guards against a daemon that terminates with an exception if its address is
// in use.
TEST_CASE("an address that cannot be used is reported", "[http]") {
  Fixture it;
  HttpServer second(it.loop, {}, {});
  const auto* host = GENERATE(values<const char*>({"127.0.0.1", "no-address"}));
  CHECK_FALSE(second.Listen({host, it.port}).has_value());
}

}  // namespace dottereltrack
