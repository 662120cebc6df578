#include "http_client/url.h"

#include <curl/curl.h>

#include <memory>

namespace dottereltrack {

std::string UrlEncode(std::string_view text) {
  // libcurl takes the length 0 to mean "up to the first zero byte".
  if (text.empty()) return {};
  const std::unique_ptr<char, decltype(&curl_free)> encoded(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  return encoded == nullptr ? std::string() : std::string(encoded.get());
}

}  // namespace dottereltrack
