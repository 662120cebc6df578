#include "runtime/http/http_responses.h"

#include <string>

namespace dottereltrack {

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

HttpResponse BodyTooLarge(std::size_t size, std::size_t limit) {
  return {413,
          "the body has " + std::to_string(size) + " bytes; send at most " +
              std::to_string(limit) + "\n",
          "text/plain",
          {},
          false};
}

HttpResponse ClientHasLeft() {
  return {
      503, "the client has closed its connection\n", "text/plain", {}, true};
}

void SetRetryAfter(milliseconds wait, HttpResponse* response) {
  const auto whole_seconds = std::chrono::ceil<seconds>(wait);
  response->headers["Retry-After"] = std::to_string(whole_seconds.count());
}

std::string GetHeader(const HttpRequest& request, const std::string& name) {
  const auto it = request.headers.find(name);
  return it == request.headers.end() ? std::string() : it->second;
}

}  // namespace dottereltrack
