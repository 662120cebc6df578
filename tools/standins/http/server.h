#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dottereltrack::standins {

// A received request. Header names are converted to lower case.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  friend bool operator==(const Request&, const Request&) = default;
};

struct Response {
  int status = 200;
  std::string body{};
  friend bool operator==(const Response&, const Response&) = default;
};

// Sends the response to one request. May be called at any later time on the
// loop's thread; only the first call has an effect. `sent`, which may be empty,
// is called when the response has been sent or the connection is closed.
using Reply = std::function<void(Response, std::function<void()> sent)>;

using Handler = std::function<void(const Request&, const Reply&)>;

struct ServerLimits {
  std::size_t max_body_bytes = 4U << 20;
  // A connection is closed if its request is not answered within this time.
  std::chrono::milliseconds reply_timeout{900'000};
  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

// Minimal HTTP/1.1 server that runs on an existing event loop.
class Server {
 public:
  Server(asio::io_context& loop, const ServerLimits& limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Listens on an IP address; port 0 selects a free port. Returns the port, or
  // nullopt if the server cannot listen on the address.
  std::optional<std::uint16_t> Listen(const std::string& host,
                                      std::uint16_t port);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns the value of a header or query field, or an empty string if absent.
std::string ValueOf(const std::map<std::string, std::string>& fields,
                    const std::string& name);

}  // namespace dottereltrack::standins
