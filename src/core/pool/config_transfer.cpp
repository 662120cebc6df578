#include "core/pool/config_transfer.h"

#include <algorithm>
#include <cmath>

namespace dottereltrack::pool {
namespace {

// The store returns a text in base64.
constexpr std::uint64_t kBase64Bytes = 4;
constexpr std::uint64_t kPlainBytes = 3;

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMsAndMbps = 1'000;

// The slower of two rates, of which 0 is an unknown one.
double SlowerRate(double a, double b) {
  if (a == 0 || b == 0) return std::max(a, b);
  return std::min(a, b);
}

}  // namespace

milliseconds TransferTime(std::uint64_t bytes, double link_mbps) {
  if (link_mbps <= 0) return milliseconds{0};
  const double bits = static_cast<double>(bytes) * kBitsPerByte;
  return milliseconds{
      std::llround(std::ceil(bits / (link_mbps * kBitsPerMsAndMbps)))};
}

milliseconds RequestDelay(const ConfigTransferSettings& settings,
                          std::uint64_t bytes) {
  if (bytes <= settings.max_small_bytes) return milliseconds{0};
  return settings.store_delay +
         TransferTime(bytes / kPlainBytes * kBase64Bytes, settings.link_mbps);
}

milliseconds AnswerTimeout(const ConfigTransferSettings& settings,
                           std::uint64_t bytes, double peer_link_mbps) {
  return settings.answer_delay +
         2 * TransferTime(bytes,
                          SlowerRate(settings.link_mbps, peer_link_mbps));
}

milliseconds UploadInterval(const ConfigTransferSettings& settings,
                            std::uint64_t bytes) {
  if (bytes <= settings.max_small_bytes) return milliseconds{0};
  return 2 * TransferTime(bytes, settings.link_mbps);
}

}  // namespace dottereltrack::pool
