#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/time.h"

namespace dottereltrack {

// When to watch again after watches that ended without a value.
struct WatchBackoff {
  milliseconds first_wait{200};
  milliseconds longest_wait{5'000};
  // A watch that ends sooner than this without a value has failed.
  milliseconds shortest_success{1'000};
  std::uint32_t failures = 0;
  friend bool operator==(const WatchBackoff&, const WatchBackoff&) = default;
};

// The state after a watch that took `duration`.
WatchBackoff AfterWatch(const WatchBackoff& before, bool has_value,
                        milliseconds duration);

// The wait before the next watch.
milliseconds WaitOf(const WatchBackoff& backoff);

// Keeps one watch of the store pending. Must outlive the loop's run.
class StoreWatch {
 public:
  // Calls back with the revision of a new value, or with nothing.
  using Done = std::function<void(std::optional<std::uint64_t> revision)>;
  // Starts one watch for a value newer than the revision.
  using Begin = std::function<void(std::uint64_t after_revision, Done done)>;

  StoreWatch(asio::io_context& loop, const WatchBackoff& backoff, Begin begin);
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();
  // Begins no further watch.
  void Stop();

 private:
  void OnDone(std::optional<std::uint64_t> revision);

  asio::steady_timer timer_;
  WatchBackoff backoff_;
  Begin begin_;
  std::uint64_t revision_ = 0;
  BootTime started_at_{0};
  bool stopped_ = false;
};

}  // namespace dottereltrack
