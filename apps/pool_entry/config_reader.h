#pragma once

#include <asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "core/ids.h"
#include "core/pool/config.h"
#include "core/shared.h"
#include "core/time.h"
#include "json/json_error.h"

namespace dottereltrack::pool {

// Parses configurations. Small texts are parsed at once. A large one is parsed
// on a thread that waits on a condition variable and is started for the first
// large text, so that jobs are served meanwhile. A newer text replaces one that
// waits.
class ConfigReader {
 public:
  struct Result {
    JsonResult<PoolConfig> config;
    Bytes text;
    // Link over which the text was received; unset if it is from the store.
    std::optional<LinkId> link;
    std::chrono::microseconds parse_time{0};
  };
  // Called on the loop's thread.
  using ResultCallback = std::function<void(Result)>;

  ConfigReader(asio::io_context& loop, ResultCallback on_result);
  ~ConfigReader();
  ConfigReader(const ConfigReader&) = delete;
  ConfigReader& operator=(const ConfigReader&) = delete;

  void Read(Bytes text, std::optional<LinkId> link);

 private:
  struct Job {
    Bytes text;
    std::optional<LinkId> link;
  };

  void RunWorker();

  asio::io_context& loop_;
  ResultCallback on_result_;
  std::mutex mutex_;
  std::condition_variable wake_up_;
  // The members below are guarded by `mutex_`.
  std::optional<Job> waiting_;
  // The text that is being parsed.
  std::optional<Bytes> current_;
  bool is_stopped_ = false;
  std::thread worker_;
};

}  // namespace dottereltrack::pool
