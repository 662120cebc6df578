#include "core/pool/config.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dottereltrack::pool {
namespace {

// Host and prefix of a queue, or host and path of a call.
struct Location {
  std::string_view host;
  std::string_view path;
  friend auto operator<=>(const Location&, const Location&) = default;
};

Location LocationOf(const QueueConfig& queue) {
  return {queue.host, queue.path_prefix};
}

std::size_t CommonLength(std::string_view a, std::string_view b) {
  const auto [end, other] =
      std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return static_cast<std::size_t>(end - a.begin());
}

std::vector<std::uint32_t> MakeIndex(const std::vector<QueueConfig>& queues) {
  std::vector<std::uint32_t> index(queues.size());
  std::iota(index.begin(), index.end(), 0U);
  const auto location = [&](std::uint32_t n) { return LocationOf(queues[n]); };
  std::sort(index.begin(), index.end(), [&](std::uint32_t a, std::uint32_t b) {
    const auto order = location(a) <=> location(b);
    return order != 0 ? order < 0 : a < b;
  });
  const auto end = std::unique(index.begin(), index.end(),
                               [&](std::uint32_t a, std::uint32_t b) {
                                 return location(a) == location(b);
                               });
  index.erase(end, index.end());
  return index;
}

}  // namespace

QueueTable::QueueTable(std::vector<QueueConfig> queues) {
  Data data;
  data.by_host_and_prefix = MakeIndex(queues);
  data.queues = std::move(queues);
  data_ = std::move(data);
}

QueueTable::QueueTable(std::initializer_list<QueueConfig> queues)
    : QueueTable(std::vector<QueueConfig>(queues)) {}

const QueueConfig* QueueTable::Find(std::string_view host,
                                    std::string_view path) const {
  const auto& index = data_->by_host_and_prefix;
  auto end = index.end();
  while (true) {
    // All prefixes of the path are at or before the path in the order.
    end = std::upper_bound(index.begin(), end, Location{host, path},
                           [this](const Location& call, std::uint32_t n) {
                             return call < LocationOf(data_->queues[n]);
                           });
    if (end == index.begin()) return nullptr;
    const QueueConfig& last = data_->queues[*std::prev(end)];
    if (last.host != host) return nullptr;
    const std::size_t common = CommonLength(last.path_prefix, path);
    if (common == last.path_prefix.size()) return &last;
    // Any other prefix of the path is a prefix of the common part as well.
    path = path.substr(0, common);
  }
}

const QueueConfig* FindQueue(const PoolConfig& config, std::string_view host,
                             std::string_view path) {
  return config.queues.Find(host, path);
}

}  // namespace dottereltrack::pool
