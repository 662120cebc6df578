#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/time.h"

namespace dottereltrack {

// Exponential backoff between watches of the store that fail.
struct WatchBackoff {
  milliseconds initial_delay{200};
  milliseconds max_delay{5'000};
  // A watch that ends without a value in less than this time counts as failed.
  milliseconds min_success_duration{1'000};
  std::uint32_t consecutive_failures = 0;
  friend bool operator==(const WatchBackoff&, const WatchBackoff&) = default;
};

// Returns the backoff state after a watch that took `duration`.
WatchBackoff UpdateBackoff(const WatchBackoff& before, bool has_value,
                           milliseconds duration);

// Returns the delay before the next watch.
milliseconds NextWatchDelay(const WatchBackoff& backoff);

// Keeps one watch of the store pending at all times. Must not be destroyed
// while the loop is running.
class StoreWatch {
 public:
  // Called when a watch ends: with the revision of the new value, or with
  // nullopt if there is none.
  using DoneCallback =
      std::function<void(std::optional<std::uint64_t> revision)>;
  // Starts one watch for a value newer than `after_revision`.
  using StartWatch =
      std::function<void(std::uint64_t after_revision, DoneCallback done)>;

  StoreWatch(asio::io_context& loop, const WatchBackoff& backoff,
             StartWatch start_watch);
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();
  // Prevents further watches; a pending one is not cancelled.
  void Stop();

 private:
  void OnWatchDone(std::optional<std::uint64_t> revision);

  asio::steady_timer timer_;
  WatchBackoff backoff_;
  StartWatch start_watch_;
  std::uint64_t last_revision_ = 0;
  BootTime watch_started_at_{0};
  bool is_stopped_ = false;
};

}  // namespace dottereltrack
