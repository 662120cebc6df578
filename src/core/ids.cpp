#include "core/ids.h"

#include <openssl/evp.h>

#include <charconv>
#include <cstring>

namespace dottereltrack {
namespace {

using Sha256 = std::array<unsigned char, EVP_MAX_MD_SIZE>;

Sha256 HashParts(std::string_view first, std::string_view second) {
  Sha256 digest{};
  EVP_MD_CTX* ctx = EVP_MD_CTX_new();
  const std::uint64_t first_size = first.size();
  EVP_DigestInit_ex(ctx, EVP_sha256(), nullptr);
  // The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
  EVP_DigestUpdate(ctx, &first_size, sizeof(first_size));
  EVP_DigestUpdate(ctx, first.data(), first.size());
  EVP_DigestUpdate(ctx, second.data(), second.size());
  EVP_DigestFinal_ex(ctx, digest.data(), nullptr);
  EVP_MD_CTX_free(ctx);
  return digest;
}

constexpr std::size_t kHexIdDigits = 16;
constexpr char kHexDigits[] = "0123456789abcdef";

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

SubmissionId MakeSubmissionId(std::string_view team, std::string_view key) {
  const Sha256 digest = HashParts(team, key);
  SubmissionId id;
  std::memcpy(id.bytes.data(), digest.data(), id.bytes.size());
  return id;
}

std::uint64_t ComputeDigest(std::string_view bytes) {
  const Sha256 digest = HashParts(bytes, {});
  std::uint64_t value = 0;
  std::memcpy(&value, digest.data(), sizeof(value));
  return value;
}

std::string ToHex(const SubmissionId& id) {
  std::string text;
  text.reserve(id.bytes.size() * 2);
  for (const std::uint8_t byte : id.bytes) {
    text.push_back(kHexDigits[byte >> 4]);
    text.push_back(kHexDigits[byte & 0xf]);
  }
  return text;
}

std::string ToHex(std::uint64_t value) {
  std::string text(kHexIdDigits, '0');
  for (std::size_t n = 0; n < text.size(); ++n) {
    text[text.size() - 1 - n] = kHexDigits[(value >> (4 * n)) & 0xf];
  }
  return text;
}

std::optional<std::uint64_t> ParseHexId(std::string_view text) {
  std::uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, id, 16);
  if (text.size() != kHexIdDigits || ec != std::errc() || stop != end) {
    return std::nullopt;
  }
  return id;
}

std::optional<SubmissionId> ParseSubmissionId(std::string_view text) {
  SubmissionId id;
  if (text.size() != id.bytes.size() * 2) return std::nullopt;
  for (std::size_t n = 0; n < id.bytes.size(); ++n) {
    const int high = HexValue(text[2 * n]);
    const int low = HexValue(text[2 * n + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    id.bytes[n] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return id;
}

}  // namespace dottereltrack

std::size_t std::hash<dottereltrack::SubmissionId>::operator()(
    const dottereltrack::SubmissionId& id) const noexcept {
  std::size_t value = 0;
  std::memcpy(&value, id.bytes.data(), sizeof(value));
  return value;
}

std::size_t std::hash<dottereltrack::TaskId>::operator()(
    const dottereltrack::TaskId& id) const noexcept {
  const auto base = std::hash<dottereltrack::SubmissionId>()(id.submission);
  return base ^ (id.index * 0x9e3779b97f4a7c15ULL);
}
