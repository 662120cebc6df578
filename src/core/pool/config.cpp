#include "core/pool/config.h"

namespace dottereltrack::pool {

const QueueConfig* FindQueue(const PoolConfig& config, const std::string& host,
                             const std::string& path) {
  const QueueConfig* found = nullptr;
  for (const QueueConfig& queue : config.queues) {
    if (queue.host != host || path.rfind(queue.path_prefix, 0) != 0) continue;
    if (found != nullptr &&
        found->path_prefix.size() >= queue.path_prefix.size()) {
      continue;
    }
    found = &queue;
  }
  return found;
}

}  // namespace dottereltrack::pool
