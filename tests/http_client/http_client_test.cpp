#include "dottereltrack/http_client.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace dottereltrack {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A server on the event loop of the test. It sends a fixed response, which may
// be empty, to each request and then closes the connection or keeps it open.
class RawServer {
 public:
  RawServer(asio::io_context& loop, std::string response,
            bool closes_connection)
      : acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        response_(std::move(response)),
        closes_connection_(closes_connection) {
    Accept();
  }

  std::string Url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port()) + "/x";
  }
  int requests() const { return requests_; }
  int connections() const { return connections_; }
  // Reads the n-th request and closes its connection without a response.
  void CloseAtRequest(int n) { closed_request_ = n; }
  // Accepts no connection any more.
  void StopListening() { acceptor_.close(); }

 private:
  struct Session {
    explicit Session(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string buf;
  };

  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (ec) return;
      ++connections_;
      Read(std::make_shared<Session>(std::move(socket)));
      Accept();
    });
  }

  void Read(const std::shared_ptr<Session>& session) {
    asio::async_read_until(session->socket, asio::dynamic_buffer(session->buf),
                           "\r\n\r\n",
                           [this, session](std::error_code ec, std::size_t) {
                             if (ec) return;
                             ++requests_;
                             session->buf.clear();
                             if (requests_ == closed_request_) return;
                             SendResponse(session);
                           });
  }

  void SendResponse(const std::shared_ptr<Session>& session) {
    asio::async_write(session->socket, asio::buffer(response_),
                      [this, session](std::error_code ec, std::size_t) {
                        if (ec || closes_connection_) return;
                        Read(session);
                      });
  }

  tcp::acceptor acceptor_;
  std::string response_;
  bool closes_connection_;
  int requests_ = 0;
  int connections_ = 0;
  int closed_request_ = 0;
};

// Runs the event loop until the condition holds. Returns false if it does not
// hold within the limit.
template <typename Condition>
bool RunUntil(asio::io_context& loop, Condition condition,
              milliseconds limit = milliseconds(10'000)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(milliseconds(50));
  }
  return condition();
}

std::string UnusedUrl() {
  asio::io_context loop;
  tcp::acceptor acceptor(loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return "http://127.0.0.1:" +
         std::to_string(acceptor.local_endpoint().port()) + "/x";
}

const char* const kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: "
    "keep-alive\r\n\r\nhello";

}  // namespace

// Guards against a failed call being reported as not sent although the server
// may have received it, after which the caller would repeat it.
TEST_CASE("a completed call reports how it ended", "[http]") {
  struct Row {
    const char* name;
    const char* response;
    bool closes_connection;
    HttpEnd end;
    int status;
    const char* body;
  };
  const auto row = GENERATE(values<Row>(
      {{"answered", kOkResponse, false, HttpEnd::kAnswered, 200, "hello"},
       {"error status", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno",
        false, HttpEnd::kAnswered, 503, "no"},
       {"closed without an answer", "", true, HttpEnd::kTransportError, 0, ""},
       {"closed within the body",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhe", true,
        HttpEnd::kTransportError, 0, ""},
       {"never answers", "", false, HttpEnd::kTimedOut, 0, ""},
       {"too large",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl", false,
        HttpEnd::kTooLarge, 0, ""}}));
  const bool is_fresh = GENERATE(false, true);
  CAPTURE(row.name, is_fresh);
  asio::io_context loop;
  RawServer server(loop, row.response, row.closes_connection);
  HttpClient client(loop);
  std::optional<HttpResult> result;
  client.Start({.url = server.Url(),
                .timeout = milliseconds(200),
                .max_response_bytes = 10,
                .use_fresh_connection = is_fresh},
               [&](HttpResult r) { result = std::move(r); });
  CHECK_FALSE(result.has_value());
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK(ToString(result->end) == std::string(ToString(row.end)));
  CHECK(result->status == row.status);
  CHECK(result->body == row.body);
  CHECK(result->message.empty() == (row.end == HttpEnd::kAnswered));
  CHECK(server.requests() == 1);
}

TEST_CASE("a call to a port without a server is reported as not connected",
          "[http]") {
  asio::io_context loop;
  HttpClient client(loop);
  std::optional<HttpResult> result;
  client.Start({.method = "POST", .url = UnusedUrl(), .body = "b"},
               [&](HttpResult r) { result = std::move(r); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK(ToString(result->end) == std::string("not_connected"));
}

// Guards against a task being started twice: libcurl resends a request
// automatically if the server has closed the reused connection.
TEST_CASE("a fresh connection serves one call, others are reused", "[http]") {
  const bool is_fresh = GENERATE(false, true);
  CAPTURE(is_fresh);
  asio::io_context loop;
  RawServer server(loop, kOkResponse, false);
  HttpClient client(loop);
  for (int n = 1; n <= 3; ++n) {
    bool ended = false;
    client.Start({.url = server.Url(), .use_fresh_connection = is_fresh},
                 [&](const HttpResult& r) {
                   CHECK(r.body == "hello");
                   ended = true;
                 });
    REQUIRE(RunUntil(loop, [&] { return ended; }));
  }
  CHECK(server.requests() == 3);
  CHECK(server.connections() == (is_fresh ? 3 : 1));
}

// Guards against a response to the last attempt being taken for that to an
// earlier one, which the server may have processed, and against that response
// not being read: the new socket often has the number of the old one.
TEST_CASE("a resent call is reported as such", "[http]") {
  struct Row {
    const char* name;
    int closed_request;
    bool is_fresh;
    HttpEnd end;
    bool is_resent;
  };
  const auto row = GENERATE(values<Row>(
      {{"answered at once", 0, false, HttpEnd::kAnswered, false},
       {"reused connection closed", 2, false, HttpEnd::kAnswered, true},
       {"fresh connection closed", 2, true, HttpEnd::kTransportError, false}}));
  CAPTURE(row.name);
  asio::io_context loop;
  RawServer server(loop, kOkResponse, false);
  server.CloseAtRequest(row.closed_request);
  HttpClient client(loop);
  const HttpCall call{.method = "POST",
                      .url = server.Url(),
                      .body = "b",
                      .use_fresh_connection = row.is_fresh};
  std::optional<HttpResult> result;
  for (int n = 1; n <= 2; ++n) {
    result.reset();
    client.Start(call, [&](HttpResult r) { result = std::move(r); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    CHECK(result->is_resent == (n == 2 && row.is_resent));
  }
  CHECK(ToString(result->end) == std::string(ToString(row.end)));
}

// Guards against a call being reported as not sent if its first attempt was
// sent and the server cannot be reached for the second.
TEST_CASE("a call that cannot be resent counts as sent", "[http]") {
  asio::io_context loop;
  RawServer server(loop, kOkResponse, false);
  server.CloseAtRequest(2);
  HttpClient client(loop);
  const HttpCall call{.method = "POST", .url = server.Url(), .body = "b"};
  std::optional<HttpResult> result;
  for (int n = 1; n <= 2; ++n) {
    if (n == 2) server.StopListening();
    result.reset();
    client.Start(call, [&](HttpResult r) { result = std::move(r); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  }
  CHECK(ToString(result->end) == std::string("transport_error"));
}

// Guards against a result being delivered to a caller that has cancelled the
// call.
TEST_CASE("a cancelled call does not invoke its callback", "[http]") {
  asio::io_context loop;
  RawServer server(loop, kOkResponse, false);
  HttpClient client(loop, {.max_calls = 2});
  int ended = 0;
  const auto count = [&](const HttpResult& r) {
    CHECK(r.status == 200);
    ++ended;
  };
  const auto first = client.Start({.url = server.Url()}, count);
  client.Start({.url = server.Url()}, count);
  const auto refused = client.Start({.url = server.Url()}, count);
  client.Cancel(first);
  client.Cancel(refused);
  client.Cancel(HttpCallId{99});
  REQUIRE(RunUntil(loop, [&] { return ended == 1; }));
  loop.restart();
  loop.run_for(milliseconds(50));
  CHECK(ended == 1);
}

// Guards against unbounded use of memory and sockets while a server does not
// respond.
TEST_CASE("calls beyond the limit are refused", "[http]") {
  asio::io_context loop;
  RawServer server(loop, "", false);
  HttpClient client(loop, {.max_calls = 3});
  int refused = 0;
  int timed_out = 0;
  for (int n = 0; n < 8; ++n) {
    client.Start({.url = server.Url(), .timeout = milliseconds(100)},
                 [&](const HttpResult& r) {
                   refused += r.end == HttpEnd::kRefused ? 1 : 0;
                   timed_out += r.end == HttpEnd::kTimedOut ? 1 : 0;
                 });
  }
  REQUIRE(RunUntil(loop, [&] { return refused + timed_out == 8; }));
  CHECK(refused == 5);
  CHECK(timed_out == 3);
  CHECK(server.requests() == 3);
}

// Guards against a client that polls while it waits for a response.
TEST_CASE("a waiting call does not wake the loop", "[http]") {
  asio::io_context loop;
  RawServer server(loop, "", false);
  HttpClient client(loop);
  bool ended = false;
  client.Start({.url = server.Url(), .timeout = milliseconds(600)},
               [&](const HttpResult&) { ended = true; });
  REQUIRE(RunUntil(loop, [&] { return server.requests() == 1; }));
  std::size_t handlers = 0;
  while (!ended) handlers += loop.run_one();
  CHECK(handlers < 10);
}

}  // namespace dottereltrack
