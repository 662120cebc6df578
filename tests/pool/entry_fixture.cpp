#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr Resources kTaskNeeds{6'000, 64, 0};
constexpr milliseconds kEstimate{100};
constexpr const char* kService = "menus";

PoolConfig MakeConfig() {
  QueueConfig queue;
  queue.name = "checks";
  queue.host = "menus.example";
  queue.path_prefix = "/checks/";
  queue.service = kService;
  queue.max_attempts = 2;
  queue.stretch = 2;
  queue.target_latency = milliseconds{60};
  return {1, {queue}};
}

}  // namespace

Resources ResourcesFor(int n) {
  return {n * kTaskNeeds.cpu_millis, n * kTaskNeeds.memory_mb, 0};
}

EntryFixture::EntryFixture() {
  now.boot = seconds{100};
  now.wall = WallTime{1'000'000};
  board.settings.id = 7;
  board.settings.address = {"10.0.0.1", 7000};
  Step({ConfigRead{MakeConfig(), std::string("config")}});
}

std::vector<EntryEffect> EntryFixture::Step(std::vector<EntryEvent> events) {
  return Advance(&board, events, now);
}

std::vector<EntryEffect> EntryFixture::AdvanceTime(milliseconds time) {
  // A message on each link keeps it alive.
  now.boot += time;
  now.wall += time;
  std::vector<EntryEvent> events;
  for (const auto& [id, link] : board.links) {
    events.emplace_back(MessageReceived{id, Ping{}});
  }
  events.emplace_back(EntryTick{});
  return Step(std::move(events));
}

void EntryFixture::AddAgent(std::uint64_t link, const std::string& minion,
                            Resources capacity, double log_slowness,
                            const std::string& data_centre,
                            const std::string& service) {
  const AgentHello hello{link, minion, service, data_centre, "r1", capacity};
  const LoadReport load{0, capacity, true, true, log_slowness};
  Step({MessageReceived{{link}, hello}, MessageReceived{{link}, load}});
}

std::vector<EntryEffect> EntryFixture::Submit(std::uint64_t job,
                                              std::uint32_t tasks,
                                              milliseconds client_timeout) {
  JobSpec spec;
  spec.id = job;
  spec.payload = std::string("payload");
  spec.steps = {{tasks, kTaskNeeds, kEstimate}};
  return Step({JobSubmitted{{next_call++},
                            "request",
                            "menus.example",
                            "/checks/" + JobIdToText(job),
                            spec,
                            client_timeout}});
}

}  // namespace dottereltrack::pool
