#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/cell.h"
#include "core/time.h"

namespace dottereltrack {

// Limits of an HTTP server.
struct HttpLimits {
  // Larger bodies are answered with 413. A body of more than twice this size
  // ends the connection, since the rest of it is not read.
  std::size_t max_body_bytes = 4U << 20;
  // Largest value of one header field, and largest path.
  std::size_t max_header_bytes = 4U << 10;
  std::size_t max_connections = 1'024;
  // Longest time to receive a request, or to be idle between two.
  milliseconds read_timeout{60'000};
  milliseconds write_timeout{10'000};
  // Longest time until the reply to a request must be given.
  milliseconds reply_timeout{630'000};
  friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

// A request as received. Header names are in lower case.
struct HttpRequest {
  // The connection that it came over; unique within the process.
  std::uint64_t connection = 0;
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  // Closes the connection after this response.
  bool close = false;
  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

// Sends the response of one request. Only the first call has an effect. May be
// called later, on the loop's thread.
using HttpReplier = std::function<void(HttpResponse)>;

// What a process does with HTTP events. All are called on the loop's thread.
struct HttpHandlers {
  std::function<void(HttpRequest, HttpReplier)> on_request;
  // The connection is gone; replies to its requests are dropped. May be empty.
  std::function<void(std::uint64_t connection)> on_disconnect;
  // The response to a body above the limit; a line of text if empty.
  std::function<HttpResponse(std::size_t size, std::size_t limit)>
      on_body_too_large;
};

// Tells the client when to come back, in whole seconds, rounded up.
void SetRetryAfter(milliseconds wait, HttpResponse* response);

// The value of a header, or an empty text. The name is in lower case.
std::string HeaderOf(const HttpRequest& request, const std::string& name);

// An HTTP/1.1 server on an existing loop that one thread runs.
class HttpServer {
 public:
  HttpServer(asio::io_context& loop, const HttpLimits& limits,
             HttpHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on an IP address; port 0 takes a free one. Returns the port, or
  // nothing if the address cannot be used.
  std::optional<std::uint16_t> Listen(const Endpoint& address);
  // Accepts no more connections; open ones go on.
  void StopListening();
  // Calls back once when all responses given so far have been sent or their
  // connections are gone.
  void WhenSent(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dottereltrack
