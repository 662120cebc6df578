#include "json/base64.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace dottereltrack {
namespace {

constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// Whether a character is a digit, by its code. A table, because a search among
// the digits for each character takes longer than the decoding.
constexpr std::array<bool, 256> MakeDigitTable() {
  std::array<bool, 256> is_digit{};
  for (const char it : kBase64Digits) {
    is_digit[static_cast<unsigned char>(it)] = true;
  }
  return is_digit;
}
constexpr std::array<bool, 256> kIsDigit = MakeDigitTable();

bool HasOnlyDigits(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char it) {
    return kIsDigit[static_cast<unsigned char>(it)];
  });
}

// Number of '=' at the end; 3 or more are not valid padding.
std::size_t CountPadding(std::string_view text) {
  const std::size_t last = text.find_last_not_of('=');
  return last == std::string_view::npos ? text.size() : text.size() - last - 1;
}

}  // namespace

std::string ToBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  const std::size_t padding = CountPadding(text);
  // OpenSSL skips white space, so that several texts would decode to one value.
  const bool is_valid = text.size() % 4 == 0 && padding <= 2 &&
                        HasOnlyDigits(text.substr(0, text.size() - padding));
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
