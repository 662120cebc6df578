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

// A request as received. Header names are in lower case.
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

// Sends the response of one request, at any later time on the loop's thread.
// `sent` is called when it is on its way or the connection is gone; it may be
// empty. Only the first call has an effect.
using Reply = std::function<void(Response, std::function<void()> sent)>;

using Handler = std::function<void(const Request&, const Reply&)>;

struct ServerLimits {
  std::size_t max_body_bytes = 4U << 20;
  // A connection whose request has no response after this time is closed.
  std::chrono::milliseconds reply_timeout{900'000};
  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

// A small HTTP/1.1 server on an existing loop.
class Server {
 public:
  Server(asio::io_context& loop, const ServerLimits& limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Listens on an IP address; port 0 takes a free one. Returns the port, or
  // nothing if the address cannot be used.
  std::optional<std::uint16_t> Listen(const std::string& host,
                                      std::uint16_t port);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Value of a header or of a query field, or an empty text.
std::string ValueOf(const std::map<std::string, std::string>& fields,
                    const std::string& name);

}  // namespace dottereltrack::standins
