#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>

#include "http_client/http_types.h"

namespace dottereltrack {

struct CurlEasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// One call with what libcurl refers to while the call runs. It must not move.
struct CurlCall {
  HttpCallId id;
  std::string body;
  std::size_t max_response_bytes = 0;
  std::string response;
  bool is_too_large = false;
  std::unique_ptr<curl_slist, CurlListDeleter> headers;
  std::unique_ptr<CURL, CurlEasyDeleter> easy;
  std::function<void(HttpResult)> done;
};

// Prepares a call whose easy handle carries a pointer to it.
std::unique_ptr<CurlCall> MakeCurlCall(HttpCallId id, const HttpCall& request,
                                       std::function<void(HttpResult)> done);

// Result of a call that libcurl has ended with this code.
HttpResult ResultOf(CurlCall& call, CURLcode code);

}  // namespace dottereltrack
