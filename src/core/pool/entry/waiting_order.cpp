#include "core/pool/entry/waiting_order.h"

#include <tuple>

namespace dottereltrack::pool {

bool IsPlacedBefore(const StartUrgency& a, const StartUrgency& b) {
  const auto group = [](const StartUrgency& it) {
    return std::tuple(it.is_suspect, it.is_late,
                      !it.is_late && !it.job_has_started);
  };
  if (group(a) != group(b)) return group(a) < group(b);
  if (a.is_late && a.remaining_work != b.remaining_work) {
    return a.remaining_work < b.remaining_work;
  }
  return std::tie(a.latest_start, a.key) < std::tie(b.latest_start, b.key);
}

}  // namespace dottereltrack::pool
