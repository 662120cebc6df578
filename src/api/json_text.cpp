#include "api/json_text.h"

#include <openssl/evp.h>

#include <algorithm>

namespace dottereltrack {
namespace {

using nlohmann::json;

constexpr char kBase64Digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string PlaceOf(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte == 0 ? 0 : byte - 1);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " +
         std::to_string(before.size() - line_start + 1);
}

// Number of '=' at the end; 3 or more are no padding.
std::size_t PaddingOf(const std::string& text) {
  const std::size_t last = text.find_last_not_of('=');
  return last == std::string::npos ? text.size() : text.size() - last - 1;
}

}  // namespace

std::string ToJsonText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

ApiResult<json> ParseObject(std::string_view body) {
  try {
    json value = json::parse(body);
    if (value.is_object()) return value;
    return InvalidRequest(std::string("the body is a JSON ") +
                          value.type_name() + "; send one JSON object");
  } catch (const json::parse_error& e) {
    return InvalidRequest("the body is not JSON at " + PlaceOf(body, e.byte) +
                          "; send one JSON object in UTF-8");
  }
}

bool IsUtf8(const std::string& bytes) {
  try {
    json(bytes).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

std::string ToBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::optional<std::string> FromBase64(const std::string& text) {
  const std::size_t padding = PaddingOf(text);
  // OpenSSL skips white space, which would make two texts of one value.
  const bool is_valid =
      text.size() % 4 == 0 && padding <= 2 &&
      text.find_first_not_of(kBase64Digits) >= text.size() - padding;
  if (!is_valid) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) return std::nullopt;
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

}  // namespace dottereltrack
