#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace dottereltrack {

// An HTTP/1.1 request. The host must be an IP address, because libcurl would
// start a thread to resolve a host name.
struct HttpCall {
  std::string method = "GET";
  std::string url{};
  std::vector<std::pair<std::string, std::string>> headers{};
  // Sent with a Content-Length header if it is not empty or the method is PUT
  // or POST.
  std::string body{};
  // Time from the start of the call until the last byte of the response.
  std::chrono::milliseconds timeout{1'000};
  // A response with a larger body ends the call with kTooLarge.
  std::size_t max_response_bytes = 1U << 20;
  // Opens a new connection and closes it after the call. Must be set for
  // requests that are not safe to repeat: on a reused connection that the
  // server has closed, libcurl resends the request automatically. A caller that
  // draws conclusions from a refusal must set it or check `is_resent`.
  bool use_fresh_connection = false;
  friend bool operator==(const HttpCall&, const HttpCall&) = default;
};

// How a call completed.
enum class HttpEnd {
  // A complete response was received; status and body are set.
  kAnswered,
  // No byte of the request was sent: the connection could not be established.
  kNotConnected,
  // No byte of the request was sent: max_calls calls were already in flight.
  kRefused,
  // The server may have received the request, but the response did not arrive
  // within the timeout.
  kTimedOut,
  // The server may have received the request, but the connection failed.
  kTransportError,
  // The response body exceeded max_response_bytes.
  kTooLarge,
};

// Returns the name that logs use.
const char* ToString(HttpEnd end);

struct HttpResult {
  HttpEnd end = HttpEnd::kTransportError;
  // HTTP status code; 0 unless the end is kAnswered.
  int status = 0;
  // Response body; empty unless the end is kAnswered.
  std::string body{};
  // Cause of the failure and advice for the operator; empty if the end is
  // kAnswered.
  std::string message{};
  // The request was sent more than once: the server closed a reused connection
  // without a response, and libcurl resent the request. The server may have
  // processed each attempt; the response is that to the last one.
  bool is_resent = false;
  friend bool operator==(const HttpResult&, const HttpResult&) = default;
};

// Identifies a call within one client. Ids are never reused.
struct HttpCallId {
  std::uint64_t value = 0;
  friend auto operator<=>(const HttpCallId&, const HttpCallId&) = default;
};

struct HttpClientLimits {
  // Maximum number of calls in flight; further calls end with kRefused.
  std::size_t max_calls = 64;
  // Maximum number of idle connections kept open for reuse.
  std::size_t max_idle_connections = 4;
  friend bool operator==(const HttpClientLimits&,
                         const HttpClientLimits&) = default;
};

}  // namespace dottereltrack
