#include "http_client/curl_call.h"

#include <cstdint>
#include <utility>

namespace dottereltrack {
namespace {

std::size_t OnResponseBytes(char* bytes, std::size_t size, std::size_t count,
                            void* user_data) {
  auto& call = *static_cast<CurlCall*>(user_data);
  const auto n = size * count;
  if (call.response.size() + n > call.max_response_bytes) {
    call.is_response_too_large = true;
    return 0;
  }
  call.response.append(bytes, n);
  return n;
}

// Number of bytes of the request that have been sent, in all attempts.
std::int64_t BytesSent(const CurlCall& call) {
  long sent = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(call.easy.get(), CURLINFO_REQUEST_SIZE, &sent);
  return sent;
}

// libcurl calls this each time that it is about to send the request.
int OnSend(void* user_data, char* /*server_ip*/, char* /*local_ip*/,
           int /*server_port*/, int /*local_port*/) {
  auto& call = *static_cast<CurlCall*>(user_data);
  if (BytesSent(call) > 0) call.is_resent = true;
  return CURL_PREREQFUNC_OK;
}

void SetHeaders(CurlCall& call, const HttpCall& request) {
  // Suppresses "Expect: 100-continue", which costs a round trip.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : request.headers) {
    std::string line = name;
    line.append(": ").append(value);
    list = curl_slist_append(list, line.c_str());
  }
  call.headers.reset(list);
  curl_easy_setopt(call.easy.get(), CURLOPT_HTTPHEADER, list);
}

void SetBody(CurlCall& call, const HttpCall& request) {
  CURL* easy = call.easy.get();
  const bool has_body =
      !call.body.empty() || request.method == "POST" || request.method == "PUT";
  if (has_body) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  } else if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

// The error code alone does not show this: libcurl may send the request on a
// reused connection that the server closes, and then fail to reconnect.
bool HasSentNothing(const CurlCall& call) { return BytesSent(call) == 0; }

HttpEnd HttpEndFromCurlCode(const CurlCall& call, CURLcode code) {
  switch (code) {
    case CURLE_OK:
      return HttpEnd::kAnswered;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return HasSentNothing(call) ? HttpEnd::kNotConnected
                                  : HttpEnd::kTransportError;
    case CURLE_OPERATION_TIMEDOUT:
      return HasSentNothing(call) ? HttpEnd::kNotConnected : HttpEnd::kTimedOut;
    default:
      return call.is_response_too_large ? HttpEnd::kTooLarge
                                        : HttpEnd::kTransportError;
  }
}

std::string ErrorMessage(HttpEnd end, CURLcode code) {
  std::string cause = curl_easy_strerror(code);
  switch (end) {
    case HttpEnd::kNotConnected:
      return cause + "; check that the server listens at this address";
    case HttpEnd::kTooLarge:
      return "the response exceeds the limit; raise max_response_bytes";
    default:
      return cause + "; the server may have acted, read its state back";
  }
}

}  // namespace

const char* ToString(HttpEnd end) {
  switch (end) {
    case HttpEnd::kAnswered:
      return "answered";
    case HttpEnd::kNotConnected:
      return "not_connected";
    case HttpEnd::kRefused:
      return "refused";
    case HttpEnd::kTimedOut:
      return "timed_out";
    case HttpEnd::kTransportError:
      return "transport_error";
    case HttpEnd::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

std::unique_ptr<CurlCall> MakeCurlCall(
    HttpCallId id, const HttpCall& request,
    std::function<void(HttpResult)> on_done) {
  auto call = std::make_unique<CurlCall>();
  call->id = id;
  call->body = request.body;
  call->max_response_bytes = request.max_response_bytes;
  call->on_done = std::move(on_done);
  call->easy.reset(curl_easy_init());
  CURL* easy = call->easy.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, call.get());
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));  // NOLINT
  // Ignores the proxy settings of the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));  // NOLINT
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnResponseBytes);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, call.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, call.get());
  if (request.use_fresh_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  SetHeaders(*call, request);
  SetBody(*call, request);
  return call;
}

HttpResult MakeHttpResult(CurlCall& call, CURLcode code) {
  const auto end = HttpEndFromCurlCode(call, code);
  if (end != HttpEnd::kAnswered) {
    return {end, 0, {}, ErrorMessage(end, code), call.is_resent};
  }
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(call.easy.get(), CURLINFO_RESPONSE_CODE, &status);
  return {end,
          static_cast<int>(status),
          std::move(call.response),
          {},
          call.is_resent};
}

}  // namespace dottereltrack
