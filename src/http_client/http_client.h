#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "http_client/http_types.h"

namespace dottereltrack {

// Runs HTTP calls by libcurl on the loop's thread, without polling and without
// threads. All functions must be called on that thread.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& loop,
                      const HttpClientLimits& limits = {});
  // Ends all calls without calling back.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. Calls back once from the loop, never from within Start, and
  // not at all after Cancel.
  HttpCallId Start(const HttpCall& request,
                   std::function<void(HttpResult)> done);
  // Ends a call without calling back. The server may still act on the request.
  // A call that has ended is ignored.
  void Cancel(HttpCallId call);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dottereltrack
