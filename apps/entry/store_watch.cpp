#include "apps/entry/store_watch.h"

#include <algorithm>
#include <utility>

#include "runtime/clock.h"

namespace dottereltrack {
namespace {

// Enough doublings to reach any permitted maximum delay. The cap prevents
// overflow of the shift.
constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

WatchBackoff UpdateBackoff(const WatchBackoff& before, bool has_value,
                           milliseconds duration) {
  WatchBackoff after = before;
  const bool failed = !has_value && duration < before.min_success_duration;
  after.consecutive_failures = failed ? before.consecutive_failures + 1 : 0;
  return after;
}

milliseconds NextWatchDelay(const WatchBackoff& backoff) {
  if (backoff.consecutive_failures == 0) return milliseconds{0};
  const auto doublings =
      std::min(backoff.consecutive_failures - 1, kMaxDoublings);
  return std::min(backoff.initial_delay * (std::int64_t{1} << doublings),
                  backoff.max_delay);
}

StoreWatch::StoreWatch(asio::io_context& loop, const WatchBackoff& backoff,
                       StartWatch start_watch)
    : timer_(loop), backoff_(backoff), start_watch_(std::move(start_watch)) {}

void StoreWatch::Start() {
  if (is_stopped_) return;
  watch_started_at_ = BootNow();
  start_watch_(last_revision_, [this](std::optional<std::uint64_t> revision) {
    OnWatchDone(revision);
  });
}

void StoreWatch::Stop() {
  is_stopped_ = true;
  timer_.cancel();
}

void StoreWatch::OnWatchDone(std::optional<std::uint64_t> revision) {
  const BootTime duration = BootNow() - watch_started_at_;
  if (revision) last_revision_ = std::max(last_revision_, *revision);
  backoff_ = UpdateBackoff(backoff_, revision.has_value(),
                           std::chrono::duration_cast<milliseconds>(duration));
  timer_.expires_after(NextWatchDelay(backoff_));
  timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Start();
  });
}

}  // namespace dottereltrack
