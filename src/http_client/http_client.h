#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "http_client/http_types.h"

namespace dottereltrack {

// Asynchronous HTTP client on top of libcurl. It runs on the thread of the
// event loop, starts no threads and does not poll. All functions must be called
// on that thread.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& loop,
                      const HttpClientLimits& limits = {});
  // Cancels all calls; their callbacks are not invoked.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. `on_done` is invoked exactly once from the event loop, never
  // from within Start, and not at all after Cancel.
  HttpCallId Start(const HttpCall& request,
                   std::function<void(HttpResult)> on_done);
  // Cancels a call; its callback is not invoked. The server may still process
  // the request. Has no effect on a call that has completed.
  void Cancel(HttpCallId call);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dottereltrack
