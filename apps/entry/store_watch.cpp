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

WatchBackoff AfterWatch(const WatchBackoff& before, bool has_value,
                        milliseconds duration) {
  WatchBackoff after = before;
  const bool failed = !has_value && duration < before.shortest_success;
  after.failures = failed ? before.failures + 1 : 0;
  return after;
}

milliseconds WaitOf(const WatchBackoff& backoff) {
  if (backoff.failures == 0) return milliseconds{0};
  const auto doublings = std::min(backoff.failures - 1, kMaxDoublings);
  return std::min(backoff.first_wait * (std::int64_t{1} << doublings),
                  backoff.longest_wait);
}

StoreWatch::StoreWatch(asio::io_context& loop, const WatchBackoff& backoff,
                       Begin begin)
    : timer_(loop), backoff_(backoff), begin_(std::move(begin)) {}

void StoreWatch::Start() {
  if (stopped_) return;
  started_at_ = BootNow();
  begin_(revision_,
         [this](std::optional<std::uint64_t> revision) { OnDone(revision); });
}

void StoreWatch::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void StoreWatch::OnDone(std::optional<std::uint64_t> revision) {
  const BootTime duration = BootNow() - started_at_;
  if (revision) revision_ = std::max(revision_, *revision);
  backoff_ = AfterWatch(backoff_, revision.has_value(),
                        std::chrono::duration_cast<milliseconds>(duration));
  timer_.expires_after(WaitOf(backoff_));
  timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Start();
  });
}

}  // namespace dottereltrack
