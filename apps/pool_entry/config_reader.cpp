#include "apps/pool_entry/config_reader.h"

#include <asio/post.hpp>
#include <utility>

#include "platform/config.h"

namespace dottereltrack::pool {
namespace {

// Parsed at once: takes 0.1 ms of a core, about as long as waking a thread and
// the loop on the smallest machine (0.09 core). Holds about 110 queues.
constexpr std::size_t kMaxInlineBytes = 16U << 10;

ConfigReader::Result Parse(Bytes text, std::optional<LinkId> link) {
  const auto start = std::chrono::steady_clock::now();
  auto config = users_platform::ParseConfig(*text);
  const auto time = std::chrono::steady_clock::now() - start;
  return {std::move(config), std::move(text), link,
          std::chrono::duration_cast<std::chrono::microseconds>(time)};
}

}  // namespace

ConfigReader::ConfigReader(asio::io_context& loop, ResultCallback on_result)
    : loop_(loop), on_result_(std::move(on_result)) {}

ConfigReader::~ConfigReader() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  wake_up_.notify_one();
  if (worker_.joinable()) worker_.join();
}

void ConfigReader::Read(Bytes text, std::optional<LinkId> link) {
  if (text->size() <= kMaxInlineBytes) {
    return on_result_(Parse(std::move(text), link));
  }
  {
    const std::lock_guard lock(mutex_);
    // The store and another entry may bring the same text.
    if (current_ && *current_ == text) return;
    waiting_ = Job{std::move(text), link};
  }
  wake_up_.notify_one();
  if (!worker_.joinable()) worker_ = std::thread([this] { RunWorker(); });
}

void ConfigReader::RunWorker() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [this] { return is_stopped_ || waiting_.has_value(); });
    if (is_stopped_) return;
    Job job = *std::exchange(waiting_, std::nullopt);
    current_ = job.text;
    lock.unlock();
    auto result = Parse(std::move(job.text), job.link);
    asio::post(loop_, [this, result = std::move(result)]() mutable {
      on_result_(std::move(result));
    });
    lock.lock();
    current_.reset();
  }
}

}  // namespace dottereltrack::pool
