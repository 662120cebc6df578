#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "core/pool/config.h"

namespace dottereltrack::pool {
namespace {

rc::Gen<std::string> GenPath() {
  return rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("/ab")));
}

rc::Gen<QueueConfig> GenQueue() {
  return rc::gen::build<QueueConfig>(
      rc::gen::set(&QueueConfig::host,
                   rc::gen::element<std::string>("h", "g", "")),
      rc::gen::set(&QueueConfig::path_prefix, GenPath()));
}

// The first queue with the longest prefix, by a search of the whole list.
const QueueConfig* FindInList(const QueueTable& table, const std::string& host,
                              const std::string& path) {
  const QueueConfig* found = nullptr;
  for (const QueueConfig& queue : table) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (found == nullptr ||
        queue.path_prefix.size() > found->path_prefix.size()) {
      found = &queue;
    }
  }
  return found;
}

TEST_CASE("The index finds the queue that a search of the list finds",
          "[pool][config][properties]") {
  // Guards against jobs in the wrong queue.
  const bool holds = rc::check([] {
    const QueueTable table(
        *rc::gen::container<std::vector<QueueConfig>>(GenQueue()));
    const auto host = *rc::gen::element<std::string>("h", "g", "");
    const auto path = *GenPath();
    RC_ASSERT(table.Find(host, path) == FindInList(table, host, path));
  });
  CHECK(holds);
}

}  // namespace
}  // namespace dottereltrack::pool
