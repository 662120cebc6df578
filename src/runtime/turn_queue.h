#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <functional>
#include <utility>
#include <vector>

namespace dottereltrack {

// Collects events and passes them to a callback in one batch per event loop
// iteration (a turn). Must be used only on the event loop's thread and must
// outlive the run of the loop.
template <typename Event>
class TurnQueue {
 public:
  using BatchHandler = std::function<void(std::vector<Event>)>;

  TurnQueue(asio::io_context& loop, BatchHandler on_batch)
      : loop_(loop), on_batch_(std::move(on_batch)) {}
  TurnQueue(const TurnQueue&) = delete;
  TurnQueue& operator=(const TurnQueue&) = delete;

  void Post(Event event) {
    if (is_stopped_) return;
    events_.push_back(std::move(event));
    if (std::exchange(is_batch_scheduled_, true)) return;
    // Runs after the handlers that are ready now; their events join this batch.
    asio::post(loop_, [this] {
      is_batch_scheduled_ = false;
      if (!is_stopped_) on_batch_(std::exchange(events_, {}));
    });
  }

  // Discards pending and future events. Returns false if already stopped.
  bool Stop() { return !std::exchange(is_stopped_, true); }

 private:
  asio::io_context& loop_;
  BatchHandler on_batch_;
  std::vector<Event> events_;
  bool is_batch_scheduled_ = false;
  bool is_stopped_ = false;
};

}  // namespace dottereltrack
