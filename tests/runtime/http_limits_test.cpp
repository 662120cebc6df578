#include <algorithm>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "runtime/http/http_server.h"
#include "runtime/reception/reception_table.h"

namespace dottereltrack {
namespace {

using asio::ip::tcp;

constexpr std::size_t kMaxBodyBytes = 262'144;
constexpr std::size_t kMaxHeaderBytes = 16'384;
constexpr std::size_t kResponseBytes = 4U << 20;
// The machine of the smallest entry.
constexpr std::uint32_t kMemoryMb = 120;

// A server with the limits of a small machine that answers each request with
// the size of its body.
struct Fixture {
  asio::io_context loop{1};
  std::vector<CloseReason> closed;
  std::size_t request_count = 0;
  std::string response_body;
  HttpServer server;
  std::uint16_t port = 0;

  explicit Fixture(std::string body = {})
      : response_body(std::move(body)),
        server(loop, HttpLimits{.max_body_bytes = kMaxBodyBytes},
               {[this](const HttpRequest& request, const HttpReplier& reply) {
                  ++request_count;
                  HttpResponse response;
                  response.body = response_body.empty()
                                      ? std::to_string(request.body.size())
                                      : response_body;
                  reply(std::move(response));
                },
                {},
                {}}) {
    ReceptionTable::Of(loop).SetLimits(
        DeriveReceptionLimits(kMemoryMb, 1'000, kMaxBodyBytes),
        [this](const ClosedConnection& it) { closed.push_back(it.reason); });
    port = server.Listen({"127.0.0.1", 0}).value();
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + seconds{10};
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(milliseconds{50});
    }
    return condition();
  }

  tcp::socket Connect() {
    tcp::socket socket(loop);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    return socket;
  }

  // Sends the text. Returns what the server sends until it closes.
  std::string Exchange(tcp::socket* socket, const std::string& text) {
    std::string received;
    bool is_at_end = false;
    asio::async_write(*socket, asio::buffer(text),
                      [](const asio::error_code&, std::size_t) {});
    asio::async_read(
        *socket, asio::dynamic_buffer(received),
        [&](const asio::error_code&, std::size_t) { is_at_end = true; });
    CHECK(RunUntil([&] { return is_at_end; }));
    return received;
  }
};

std::string Repeat(std::string_view part, std::size_t count) {
  std::string text;
  text.reserve(part.size() * count);
  for (std::size_t n = 0; n < count; ++n) text += part;
  return text;
}

std::string Header(const std::string& fields) {
  return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
         "\r\n";
}

std::string Chunked(const std::string& chunks) {
  return Header("Transfer-Encoding: chunked\r\n") + chunks + "0\r\n\r\n";
}

struct Row {
  std::string content;
  std::string request;
  std::string answer;
};

std::vector<Row> Rows() {
  const std::string length =
      "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n";
  const std::string body(kMaxBodyBytes, '\n');
  const std::string long_value(kMaxHeaderBytes - 200, 'x');
  return {
      {"the largest body with a header of one long field",
       Header(length + "X: " + long_value + "\r\n") + body, "262144"},
      {"the largest body with a header of many fields",
       Header(length + Repeat("a:b\r\n", (kMaxHeaderBytes - 200) / 5)) + body,
       "262144"},
      {"the largest body in chunks of 4 KiB",
       Chunked(Repeat("1000\r\n" + std::string(4'096, 'x') + "\r\n", 64)),
       "262144"},
      {"64 KiB in chunks of one byte", Chunked(Repeat("1\r\nx\r\n", 65'536)),
       "65536"},
      {"64 KiB in chunks of one byte with extensions",
       Chunked(Repeat("1;e=f\r\nx\r\n", 65'536)), "65536"}};
}

}  // namespace

// Guards against limits that refuse a request which a client may send.
TEST_CASE("a request within the limits is served", "[http][reception]") {
  for (const Row& row : Rows()) {
    CAPTURE(row.content);
    Fixture it;
    tcp::socket socket = it.Connect();
    const std::string text = it.Exchange(&socket, row.request);
    CHECK(text.find("HTTP/1.1 200 OK") == 0);
    CHECK(text.ends_with("\r\n\r\n" + row.answer));
    CHECK(it.closed.empty());
    CHECK(ReceptionTable::Of(it.loop).memory_bytes() == 0);
  }
}

// Guards against an unfinished request that takes more than its share, and
// against a refusal that does not say that nothing was run.
TEST_CASE("an unfinished request above its share is refused",
          "[http][reception]") {
  Fixture it;
  tcp::socket socket = it.Connect();
  const std::string text =
      it.Exchange(&socket, Header("Transfer-Encoding: chunked\r\n") +
                               Repeat("1\r\nx\r\n", 200'000));
  CHECK(it.request_count == 0);
  CHECK(it.closed == std::vector{CloseReason::kConnectionShare});
  // The refusal may be lost, since the client is still sending.
  if (!text.empty()) {
    CHECK(text.find("HTTP/1.1 503") == 0);
    CHECK(text.find("the request was not run") != std::string::npos);
  }
}

// Guards against clients that request large responses and do not read them.
TEST_CASE("unread responses have a bound", "[http][reception]") {
  Fixture it(std::string(kResponseBytes, 'x'));
  const auto limits = DeriveReceptionLimits(kMemoryMb, 1'000, kMaxBodyBytes);
  std::vector<tcp::socket> sockets;
  std::size_t highest = 0;
  for (int n = 0; n < 10; ++n) {
    sockets.push_back(it.Connect());
    asio::write(sockets.back(),
                asio::buffer(Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 4)));
  }
  REQUIRE(it.RunUntil([&] {
    highest = std::max(highest, ReceptionTable::Of(it.loop).unsent_bytes());
    return it.request_count >= 30;
  }));
  CHECK(highest <= limits.max_unsent_bytes + kResponseBytes);
  CHECK(!it.closed.empty());
}

}  // namespace dottereltrack
