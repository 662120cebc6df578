#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace dottereltrack {

// One HTTP/1.1 request. The host must be an IP address, since the lookup of a
// name would start a thread.
struct HttpCall {
  std::string method = "GET";
  std::string url{};
  std::vector<std::pair<std::string, std::string>> headers{};
  // Sent with a Content-Length if it is not empty or the method is PUT or POST.
  std::string body{};
  // From the start of the call to the last byte of the response.
  std::chrono::milliseconds timeout{1'000};
  // A response with a larger body ends the call with kTooLarge.
  std::size_t max_response_bytes = 1U << 20;
  // Uses a new connection and closes it afterwards. Without this libcurl sends
  // a request again by itself if a kept connection turns out to be closed, so
  // requests that must not be repeated set it.
  bool fresh_connection = false;
  friend bool operator==(const HttpCall&, const HttpCall&) = default;
};

// How a call has ended.
enum class HttpEnd {
  // A whole response arrived; status and body are set.
  kAnswered,
  // No byte of the request has left: no connection could be made.
  kNotConnected,
  // No byte of the request has left: the client's limit of calls was reached.
  kRefused,
  // The request may have been received, but no response came in time.
  kTimedOut,
  // The request may have been received, but the connection failed.
  kTransportError,
  // The response exceeded the limit.
  kTooLarge,
};

// Short name of an end for logs.
const char* ToString(HttpEnd end);

struct HttpResult {
  HttpEnd end = HttpEnd::kTransportError;
  // HTTP status; 0 unless answered.
  int status = 0;
  // Body of the response; empty unless answered.
  std::string body{};
  // Says what failed and what to do; empty if answered.
  std::string message{};
  friend bool operator==(const HttpResult&, const HttpResult&) = default;
};

// Identifies a call of one client. Ids are never reused.
struct HttpCallId {
  std::uint64_t value = 0;
  friend auto operator<=>(const HttpCallId&, const HttpCallId&) = default;
};

struct HttpClientLimits {
  // Further calls end with kRefused.
  std::size_t max_calls = 64;
  // Idle connections that are kept for later calls.
  std::size_t max_idle_connections = 4;
  friend bool operator==(const HttpClientLimits&,
                         const HttpClientLimits&) = default;
};

}  // namespace dottereltrack
