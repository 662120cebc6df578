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

// A call and the data that libcurl points to while the call is in flight. Must
// not be moved, because libcurl holds its address.
struct CurlCall {
  HttpCallId id;
  std::string body;
  std::size_t max_response_bytes = 0;
  std::string response;
  bool is_response_too_large = false;
  // See HttpResult.
  bool is_resent = false;
  std::unique_ptr<curl_slist, CurlListDeleter> headers;
  std::unique_ptr<CURL, CurlEasyDeleter> easy;
  std::function<void(HttpResult)> on_done;
};

// Creates a call whose easy handle stores a pointer to it (CURLOPT_PRIVATE).
std::unique_ptr<CurlCall> MakeCurlCall(HttpCallId id, const HttpCall& request,
                                       std::function<void(HttpResult)> on_done);

// Returns the result of a call that libcurl completed with `code`. Moves the
// response body out of the call.
HttpResult MakeHttpResult(CurlCall& call, CURLcode code);

}  // namespace dottereltrack
