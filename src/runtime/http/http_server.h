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
  // A larger body is rejected with status 413. A body of more than twice this
  // size closes the connection, since the rest of it is not read.
  std::size_t max_body_bytes = 4U << 20;
  // Maximum size of a header field's name, of its value and of the path.
  std::size_t max_header_bytes = 16U << 10;
  std::size_t max_connections = 1'024;
  // Maximum time to receive a request, or to stay idle between two requests.
  milliseconds read_timeout{60'000};
  milliseconds write_timeout{10'000};
  // Maximum time for the handler to reply to a request.
  milliseconds reply_timeout{630'000};
  friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

// A received request. Header names are in lower case.
struct HttpRequest {
  // Id of the client connection; unique within the process.
  std::uint64_t connection = 0;
  // The client's address without its port.
  std::string source;
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

// Sends the response to one request. Only the first call has an effect. May be
// called after the request handler has returned, on the event loop's thread.
using HttpReplier = std::function<void(HttpResponse)>;

// Callbacks for HTTP events, called on the event loop's thread.
struct HttpHandlers {
  std::function<void(HttpRequest, HttpReplier)> on_request;
  // The connection was closed; replies to its requests are dropped. May be
  // empty.
  std::function<void(std::uint64_t connection)> on_disconnect;
  // Creates the response to a body above the limit. If empty, the server
  // responds with a line of plain text.
  std::function<HttpResponse(std::size_t size, std::size_t limit)>
      on_body_too_large;
};

// Sets the Retry-After header, rounded up to whole seconds.
void SetRetryAfter(milliseconds wait, HttpResponse* response);

// Returns the value of a header, or an empty string if it is absent. `name`
// must be in lower case.
std::string GetHeader(const HttpRequest& request, const std::string& name);

// An HTTP/1.1 server on an existing event loop that is run by one thread.
class HttpServer {
 public:
  HttpServer(asio::io_context& loop, const HttpLimits& limits,
             HttpHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on an IP address; port 0 selects a free port. Returns the port, or
  // nullopt if the address cannot be used.
  std::optional<std::uint16_t> Listen(const Endpoint& address);
  // Stops accepting connections; open connections continue.
  void StopListening();
  // Whether a connection is open as far as the kernel knows: no reset and no
  // end of the client's stream has arrived. `on_disconnect` reports either only
  // once all data before it have been read. Costs one system call.
  bool IsConnected(std::uint64_t connection) const;
  // Calls `done` once, when every pending response has been sent or its
  // connection has been closed.
  void NotifyWhenAllSent(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dottereltrack
