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
  milliseconds first_wait{200};
  milliseconds longest_wait{5'000};
  // A watch that ends without a value in less than this time counts as failed.
  milliseconds shortest_success{1'000};
  std::uint32_t failures = 0;
  friend bool operator==(const WatchBackoff&, const WatchBackoff&) = default;
};

// Returns the backoff state after a watch that took `duration`.
WatchBackoff AfterWatch(const WatchBackoff& before, bool has_value,
                        milliseconds duration);

// Returns the delay before the next watch.
milliseconds WaitOf(const WatchBackoff& backoff);

// Keeps one watch of the store pending at all times. Must not be destroyed
// while the loop is running.
class StoreWatch {
 public:
  // Called when a watch ends: with the revision of the new value, or with
  // nullopt if there is none.
  using Done = std::function<void(std::optional<std::uint64_t> revision)>;
  // Starts one watch for a value newer than `after_revision`.
  using Begin = std::function<void(std::uint64_t after_revision, Done done)>;

  StoreWatch(asio::io_context& loop, const WatchBackoff& backoff, Begin begin);
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();
  // Prevents further watches; a pending one is not cancelled.
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
