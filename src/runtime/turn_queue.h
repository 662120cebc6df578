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
  using RunTurn = std::function<void(std::vector<Event>)>;

  TurnQueue(asio::io_context& loop, RunTurn run_turn)
      : loop_(loop), run_turn_(std::move(run_turn)) {}
  TurnQueue(const TurnQueue&) = delete;
  TurnQueue& operator=(const TurnQueue&) = delete;

  void Post(Event event) {
    if (stopped_) return;
    events_.push_back(std::move(event));
    if (std::exchange(posted_, true)) return;
    // Runs after the handlers that are ready now; their events join this batch.
    asio::post(loop_, [this] {
      posted_ = false;
      if (!stopped_) run_turn_(std::exchange(events_, {}));
    });
  }

  // Discards pending and future events. Returns false if already stopped.
  bool Stop() { return !std::exchange(stopped_, true); }

 private:
  asio::io_context& loop_;
  RunTurn run_turn_;
  std::vector<Event> events_;
  bool posted_ = false;
  bool stopped_ = false;
};

}  // namespace dottereltrack
