#include "core/pool/pause.h"

namespace dottereltrack::pool {
namespace {

// Below link_timeout, so that a process that others still trust, but that has
// missed most of that time, takes itself for paused.
constexpr milliseconds kPauseBound{350};

}  // namespace

milliseconds PauseLength(BootTime last, BootTime now, milliseconds interval) {
  if (last == BootTime{0} || now - last < interval + kPauseBound) {
    return milliseconds{0};
  }
  return std::chrono::duration_cast<milliseconds>(now - last);
}

}  // namespace dottereltrack::pool
