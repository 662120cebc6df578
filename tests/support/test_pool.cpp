#include "support/test_pool.h"

#include <algorithm>
#include <utility>

#include "core/pool/pause.h"

namespace dottereltrack::testing {
namespace {

using namespace pool;  // NOLINT(google-build-using-namespace)

// As in the daemons.
constexpr milliseconds kTickInterval{25};
// A live store answers within milliseconds; the daemons watch it all the time.
constexpr milliseconds kStoreDelay{5};
constexpr milliseconds kStoreInterval{1'000};
constexpr milliseconds kReportInterval{1'500};
// Agent and minion are on one machine.
constexpr BootTime kLocalDelay{50};
constexpr const char* kService = "checks";

template <typename T>
T Pick(const std::vector<T>& values, int n) {
  return values[std::min<std::size_t>(n, values.size() - 1)];
}

}  // namespace

QueueConfig PoolOptions::DefaultQueue() {
  QueueConfig queue;
  queue.name = "checks";
  queue.host = "checks.example";
  queue.path_prefix = "/checks/";
  queue.service = kService;
  queue.max_attempts = 2;
  queue.stretch = 1.6;
  queue.target_latency = milliseconds{60};
  return queue;
}

JobSpec MakeJob(std::uint64_t id, std::uint32_t count, milliseconds length,
                std::int64_t cpu_millis) {
  JobSpec job;
  job.id = id;
  job.payload =
      std::to_string(length.count()) + " " + std::to_string(cpu_millis);
  job.steps = {{count, {cpu_millis, 1, 0}, length}};
  return job;
}

TestPool::TestPool(const PoolOptions& options)
    : options_(options), random_(options.seed) {
  config_ = {1, {options_.queue}};
  ends_.resize(options_.entries + options_.agents);
  for (int n = 0; n < options_.agents; ++n) {
    FakeMinionOptions minion;
    minion.name = "m" + std::to_string(n);
    minion.address = {"10.0.1." + std::to_string(n + 1), 9000};
    minion.service = options_.queue.service;
    minion.capacity = options_.capacity;
    minion.time_ratio = Pick(options_.time_ratios, n);
    minion.clock_rate = Pick(options_.clock_rates, n);
    minion.seed = random_();
    minions_.push_back(std::make_unique<FakeMinion>(&clock_, &ledger_, minion));
  }
  for (int end = 0; end < end_count(); ++end) Boot(end);
}

Endpoint TestPool::AddressOf(int entry) const {
  return {"10.0.0." + std::to_string(entry + 1), 7720};
}

int TestPool::EntryAt(const Endpoint& address) const {
  for (int n = 0; n < options_.entries; ++n) {
    if (AddressOf(n) == address) return n;
  }
  return -1;
}

BootTime TestPool::DelayBetween(int end, int other) const {
  return options_.delay ? options_.delay(end, other) : BootTime{500};
}

bool TestPool::IsRunning(int end) const {
  return ends_[end].state == ProcessState::kRunning;
}

void TestPool::Boot(int end) {
  End& it = ends_[end];
  const std::uint64_t life = it.life + 1;
  it = End{};
  it.life = life;
  it.state = ProcessState::kRunning;
  if (IsAgent(end)) {
    it.agent.settings.id = random_();
    it.agent.fencing_token = clock_.wall().count();
    const int agent = end - options_.entries;
    const auto wait = static_cast<std::int64_t>(random_() % 1'500);
    clock_.ScheduleAfter(milliseconds{wait},
                         [this, agent, life] { ReportMinion(agent, life); });
  } else {
    it.entry.settings.id = random_();
    it.entry.settings.address = AddressOf(end);
    it.entry.started_at = clock_.now();
  }
  ReadStore(end, life);
  // Timers of different processes do not fire at the same time.
  const auto phase = static_cast<std::int64_t>(random_() % 25'000);
  clock_.ScheduleAfter(BootTime{phase}, [this, end, life] { Tick(end, life); });
}

void TestPool::ReadStore(int end, std::uint64_t life) {
  End& it = ends_[end];
  if (it.life != life) return;
  if (!store_down_) {
    clock_.ScheduleAfter(kStoreDelay, [this, end, life, config = config_] {
      End& reader = ends_[end];
      if (reader.life != life || reader.state == ProcessState::kEnded) return;
      std::vector<Endpoint> entries;
      for (int n = 0; n < options_.entries; ++n) {
        if (ends_[n].state == ProcessState::kRunning) {
          entries.push_back(AddressOf(n));
        }
      }
      if (IsAgent(end)) {
        Post(end, AgentEvent{EntriesRegistered{entries}});
      } else {
        Post(end, EntryEvent{EntriesListed{entries}});
        Post(end, EntryEvent{ConfigRead{config, std::string("config")}});
      }
    });
  }
  clock_.ScheduleAfter(kStoreInterval,
                       [this, end, life] { ReadStore(end, life); });
}

void TestPool::SetConfig(const PoolConfig& config) { config_ = config; }

void TestPool::ReportMinion(int agent, std::uint64_t life) {
  const int end = AgentEnd(agent);
  if (ends_[end].life != life) return;
  if (minions_[agent]->mode() == MinionMode::kUp) {
    const MinionReport report = minions_[agent]->Report();
    clock_.ScheduleAfter(kLocalDelay, [this, end, life, report] {
      if (ends_[end].life == life) {
        Post(end, AgentEvent{MinionReported{report}});
      }
    });
  }
  clock_.ScheduleAfter(kReportInterval,
                       [this, agent, life] { ReportMinion(agent, life); });
}

void TestPool::Tick(int end, std::uint64_t life) {
  if (ends_[end].life != life) return;
  if (ends_[end].state == ProcessState::kRunning) {
    if (IsAgent(end)) {
      Post(end, AgentEvent{AgentTick{}});
    } else {
      Post(end, EntryEvent{EntryTick{}});
    }
  }
  clock_.ScheduleAfter(kTickInterval, [this, end, life] { Tick(end, life); });
}

void TestPool::Post(int end, EntryEvent event) {
  End& it = ends_[end];
  if (it.state == ProcessState::kFrozen) {
    it.held_entry_events.push_back(std::move(event));
  } else if (it.state == ProcessState::kRunning) {
    RunEntry(end, {std::move(event)});
  }
}

void TestPool::Post(int end, AgentEvent event) {
  End& it = ends_[end];
  if (it.state == ProcessState::kFrozen) {
    it.held_agent_events.push_back(std::move(event));
  } else if (it.state == ProcessState::kRunning) {
    RunAgent(end, {std::move(event)});
  }
}

void TestPool::RunEntry(int end, std::vector<EntryEvent> events) {
  End& it = ends_[end];
  const Now now{clock_.now(), clock_.wall(), 0};
  const milliseconds pause = PauseLength(std::exchange(it.last_turn, now.boot),
                                         now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), PauseNoticed{pause});
  const auto effects = Advance(&it.entry, events, now);
  const std::uint64_t version = it.entry.config.version;
  if (version < it.config_version) ++config_regressions_;
  it.config_version = version;
  for (const EntryEffect& effect : effects) {
    std::visit([&](const auto& e) { Do(end, e); }, effect);
  }
}

void TestPool::RunAgent(int end, std::vector<AgentEvent> events) {
  End& it = ends_[end];
  const Now now{clock_.now(), clock_.wall(), 0};
  const milliseconds pause = PauseLength(std::exchange(it.last_turn, now.boot),
                                         now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), AgentPaused{pause});
  const auto effects = Advance(&it.agent, events, now);
  for (const AgentEffect& effect : effects) {
    std::visit([&](const auto& e) { Do(end, e); }, effect);
  }
}

CallId TestPool::Submit(int entry, const JobSpec& job, milliseconds patience) {
  const CallId call{next_id_++};
  const ProcessState state = ends_[entry].state;
  calls_[call] = CallState::kOpen;
  if (state == ProcessState::kEnded) calls_[call] = CallState::kBroken;
  if (state == ProcessState::kEnded || state == ProcessState::kWithoutPower) {
    return call;
  }
  ends_[entry].calls.insert(call);
  Post(entry,
       EntryEvent{JobSubmitted{call, "request", options_.queue.host,
                               options_.queue.path_prefix + JobText(job.id),
                               job, patience}});
  return call;
}

CallId TestPool::Cancel(int entry, std::uint64_t job) {
  const CallId call{next_id_++};
  calls_[call] = CallState::kOpen;
  ends_[entry].calls.insert(call);
  Post(entry, EntryEvent{JobCancelled{call, job}});
  return call;
}

void TestPool::LeaveCall(CallId call) {
  for (int n = 0; n < options_.entries; ++n) {
    if (ends_[n].calls.erase(call) == 0) continue;
    Post(n, EntryEvent{CallerGone{call}});
  }
  calls_[call] = CallState::kBroken;
}

CallState TestPool::StateOf(CallId call) const { return calls_.at(call); }

const PoolReply* TestPool::ReplyOf(CallId call) const {
  const auto it = replies_.find(call);
  return it == replies_.end() ? nullptr : &it->second;
}

void TestPool::BreakCalls(int end) {
  for (const CallId& call : std::exchange(ends_[end].calls, {})) {
    calls_[call] = CallState::kBroken;
  }
}

void TestPool::EndProcess(int end, ProcessState state) {
  End& it = ends_[end];
  if (it.state == ProcessState::kEnded) return;
  it.state = state;
  ++it.life;
  it.held_entry_events.clear();
  it.held_agent_events.clear();
}

void TestPool::Kill(int end) {
  EndProcess(end, ProcessState::kEnded);
  BreakCalls(end);
  for (auto& [id, link] : links_) {
    if (link.ends[0] == end || link.ends[1] == end)
      Reset(id, SideOf(link, end));
  }
}

void TestPool::PowerOff(int end) {
  EndProcess(end, ProcessState::kWithoutPower);
  for (auto& [id, link] : links_) {
    if (link.ends[0] != end && link.ends[1] != end) continue;
    const int side = SideOf(link, end);
    link.open[side] = false;
    link.held[side].clear();
  }
}

void TestPool::Restart(int end) {
  if (ends_[end].state == ProcessState::kEnded ||
      ends_[end].state == ProcessState::kWithoutPower) {
    BreakCalls(end);
    Boot(end);
  }
}

void TestPool::Freeze(int end) {
  if (IsRunning(end)) ends_[end].state = ProcessState::kFrozen;
}

void TestPool::Thaw(int end) {
  End& it = ends_[end];
  if (it.state != ProcessState::kFrozen) return;
  it.state = ProcessState::kRunning;
  if (IsAgent(end)) {
    auto events = std::exchange(it.held_agent_events, {});
    events.emplace_back(AgentTick{});
    RunAgent(end, std::move(events));
  } else {
    auto events = std::exchange(it.held_entry_events, {});
    events.emplace_back(EntryTick{});
    RunEntry(end, std::move(events));
  }
}

void TestPool::Stop(int end) {
  if (IsAgent(end)) {
    Post(end, AgentEvent{AgentStopRequested{}});
  } else {
    Post(end, EntryEvent{StopRequested{}});
  }
}

void TestPool::Do(int end, const Reply& effect) {
  if (ends_[end].calls.erase(effect.call) == 0) return;
  calls_[effect.call] = CallState::kAnswered;
  replies_[effect.call] = {effect.kind, clock_.now()};
}

void TestPool::Do(int end, const Exit&) { Kill(end); }

void TestPool::Do(int end, const ExitAgent&) { Kill(end); }

template <typename Answer>
std::function<void(Answer)> TestPool::Awaiting(
    int end, milliseconds timeout, Answer none,
    std::function<void(const Answer&)> done) {
  const auto is_over = std::make_shared<bool>(false);
  const std::uint64_t life = ends_[end].life;
  const auto finish = [this, end, life, is_over,
                       done = std::move(done)](const Answer& answer) {
    if (std::exchange(*is_over, true) || ends_[end].life != life) return;
    done(answer);
  };
  clock_.ScheduleAfter(timeout, [finish, none] { finish(none); });
  return [this, finish](Answer answer) {
    clock_.ScheduleAfter(kLocalDelay, [finish, answer] { finish(answer); });
  };
}

void TestPool::Do(int end, const CallStart& effect) {
  const auto done = Awaiting<CallAnswer>(
      end, effect.timeout, CallAnswer::kUnanswered,
      [this, end, run = effect.run](const CallAnswer& answer) {
        Post(end, AgentEvent{StartAnswered{run, answer}});
      });
  clock_.ScheduleAfter(kLocalDelay, [this, end, effect, done] {
    minions_[end - options_.entries]->Start(effect, done);
  });
}

void TestPool::Do(int end, const CallStop& effect) {
  const auto done = Awaiting<CallAnswer>(
      end, effect.timeout, CallAnswer::kUnanswered,
      [this, end, run = effect.run](const CallAnswer& answer) {
        Post(end, AgentEvent{StopAnswered{run, answer}});
      });
  clock_.ScheduleAfter(kLocalDelay, [this, end, effect, done] {
    minions_[end - options_.entries]->Stop(effect, done);
  });
}

void TestPool::Do(int end, const CallLook& effect) {
  LookAnswered none;
  none.sequence = effect.sequence;
  const auto done = Awaiting<LookAnswered>(
      end, effect.timeout, none, [this, end](const LookAnswered& answer) {
        Post(end, AgentEvent{answer});
      });
  clock_.ScheduleAfter(kLocalDelay, [this, end, effect, done] {
    minions_[end - options_.entries]->Look(effect, done);
  });
}

}  // namespace dottereltrack::testing
