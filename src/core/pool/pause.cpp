#include "core/pool/pause.h"

namespace dottereltrack::pool {
namespace {

// Delay of a turn from which on the process counts as paused. It is below
// link_timeout, so that a process that was paused for most of that time treats
// itself as paused even if others still consider it alive.
constexpr milliseconds kMinPause{350};

}  // namespace

milliseconds PauseDuration(BootTime last, BootTime now, milliseconds interval) {
  if (last == BootTime{0} || now - last < interval + kMinPause) {
    return milliseconds{0};
  }
  return std::chrono::duration_cast<milliseconds>(now - last);
}

}  // namespace dottereltrack::pool
