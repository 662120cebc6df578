#include "support/test_pool.h"

#include <algorithm>
#include <utility>

#include "core/pool/pause.h"

namespace dottereltrack::testing {
namespace {

using namespace pool;  // NOLINT(google-build-using-namespace)

// Same as in the daemons.
constexpr milliseconds kTickInterval{25};
// A working store responds within milliseconds; the daemons watch it
// constantly.
constexpr milliseconds kStoreDelay{5};
constexpr milliseconds kStoreInterval{1'000};
constexpr milliseconds kReportInterval{1'500};
// Agent and minion are on the same machine.
constexpr BootTime kLocalDelay{50};
// A process that exits flushes its messages for this long.
constexpr milliseconds kExitFlushDelay{100};
constexpr const char* kService = "checks";

template <typename T>
T ValueAtOrLast(const std::vector<T>& values, int n) {
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

JobSpec MakeJob(std::uint64_t id, std::uint32_t count, milliseconds duration,
                std::int64_t cpu_millis) {
  JobSpec job;
  job.id = id;
  job.payload =
      std::to_string(duration.count()) + " " + std::to_string(cpu_millis);
  job.steps = {{count, {cpu_millis, 1, 0}, duration}};
  return job;
}

JobSpec MakeCrashingJob(std::uint64_t id, std::uint32_t count,
                        milliseconds duration, std::int64_t cpu_millis) {
  JobSpec job = MakeJob(id, count, duration, cpu_millis);
  job.payload = *job.payload + " crash";
  return job;
}

TestPool::TestPool(const PoolOptions& options)
    : options_(options), random_(options.seed) {
  config_ = {1, options_.queues};
  processes_.resize(options_.entries + options_.agents);
  for (int n = 0; n < options_.agents; ++n) {
    FakeMinionOptions minion;
    minion.name = "m" + std::to_string(n);
    minion.address = {"10.0.1." + std::to_string(n + 1), 9000};
    minion.service = options_.queues[0].service;
    minion.capacity = options_.capacities.empty() ? options_.capacity
                                                  : options_.capacities[n];
    minion.time_ratio = ValueAtOrLast(options_.time_ratios, n);
    minion.data_centre = ValueAtOrLast(options_.data_centres, n);
    minion.clock_rate = ValueAtOrLast(options_.clock_rates, n);
    minion.seed = random_();
    minions_.push_back(std::make_unique<FakeMinion>(&clock_, &ledger_, minion));
  }
  for (int process = 0; process < process_count(); ++process)
    StartProcess(process);
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

BootTime TestPool::DelayBetween(int process, int other) const {
  return options_.delay ? options_.delay(process, other) : BootTime{500};
}

bool TestPool::IsRunning(int process) const {
  return processes_[process].state == ProcessState::kRunning;
}

void TestPool::StartProcess(int process) {
  Process& it = processes_[process];
  const std::uint64_t incarnation = it.incarnation + 1;
  it = Process{};
  it.incarnation = incarnation;
  it.state = ProcessState::kRunning;
  if (IsAgent(process)) {
    it.agent.settings.id = random_();
    it.agent.settings.max_entry_links = options_.max_entry_links;
    it.agent.fencing_token = clock_.wall().count();
    const int agent = process - options_.entries;
    const auto wait = static_cast<std::int64_t>(random_() % 1'500);
    clock_.ScheduleAfter(milliseconds{wait}, [this, agent, incarnation] {
      ReportMinion(agent, incarnation);
    });
  } else {
    it.entry.settings.id = random_();
    it.entry.settings.max_entry_links = options_.max_entry_links;
    it.entry.settings.address = AddressOf(process);
    it.entry.settings.overload_enter_share = options_.overload_enter_share;
    if (!options_.entry_cores.empty()) {
      it.entry.settings.cpu_cores =
          ValueAtOrLast(options_.entry_cores, process);
    }
    if (!options_.entry_data_centres.empty()) {
      it.entry.settings.data_centre =
          ValueAtOrLast(options_.entry_data_centres, process);
    }
    it.entry.started_at = clock_.now();
  }
  ReadStore(process, incarnation);
  // Offsets the timers, so that those of different processes fire at different
  // times.
  const auto phase = static_cast<std::int64_t>(random_() % 25'000);
  clock_.ScheduleAfter(BootTime{phase}, [this, process, incarnation] {
    Tick(process, incarnation);
  });
}

void TestPool::ReadStore(int process, std::uint64_t incarnation) {
  Process& it = processes_[process];
  if (it.incarnation != incarnation) return;
  if (!store_down_ && store_cuts_.count(process) == 0) {
    clock_.ScheduleAfter(kStoreDelay, [this, process, incarnation,
                                       config = config_,
                                       evacuations = evacuations_] {
      Process& reader = processes_[process];
      if (reader.incarnation != incarnation ||
          reader.state == ProcessState::kEnded)
        return;
      std::vector<Endpoint> entries;
      for (int n = 0; n < options_.entries; ++n) {
        // The registration of a frozen entry lapses only after 8 s.
        if (processes_[n].state == ProcessState::kRunning ||
            processes_[n].state == ProcessState::kFrozen) {
          entries.push_back(AddressOf(n));
        }
      }
      if (IsAgent(process)) {
        Post(process, AgentEvent{EntriesRegistered{entries}});
      } else {
        Post(process, EntryEvent{EntriesListed{entries}});
        if (evacuations) {
          Post(process, EntryEvent{EvacuationsRead{*evacuations}});
        }
        Post(process,
             EntryEvent{ConfigRead{config, std::to_string(config.version)}});
      }
    });
  }
  clock_.ScheduleAfter(kStoreInterval, [this, process, incarnation] {
    ReadStore(process, incarnation);
  });
}

void TestPool::SetLoopLoad(int entry, double busy_share) {
  processes_[entry].busy_share = busy_share;
}

void TestPool::SetConfig(const PoolConfig& config) { config_ = config; }

void TestPool::SetStoreCut(int entry, bool is_cut) {
  if (is_cut) {
    store_cuts_.insert(entry);
  } else {
    store_cuts_.erase(entry);
  }
}

void TestPool::SetEvacuations(const std::vector<std::string>& data_centres) {
  EvacuationView view;
  view.as_of = evacuations_ ? evacuations_->as_of + 1 : 1;
  for (const std::string& name : data_centres) {
    view.active.push_back({name, view.as_of, true});
  }
  evacuations_ = view;
}

void TestPool::ReportMinion(int agent, std::uint64_t incarnation) {
  const int process = AgentProcess(agent);
  if (processes_[process].incarnation != incarnation) return;
  if (minions_[agent]->mode() == MinionMode::kUp) {
    const MinionReport report = minions_[agent]->Report();
    clock_.ScheduleAfter(kLocalDelay, [this, process, incarnation, report] {
      if (processes_[process].incarnation == incarnation) {
        Post(process, AgentEvent{MinionReported{report}});
      }
    });
  }
  clock_.ScheduleAfter(kReportInterval, [this, agent, incarnation] {
    ReportMinion(agent, incarnation);
  });
}

void TestPool::Tick(int process, std::uint64_t incarnation) {
  if (processes_[process].incarnation != incarnation) return;
  if (processes_[process].state == ProcessState::kRunning) {
    if (IsAgent(process)) {
      Post(process, AgentEvent{AgentTick{}});
    } else {
      Post(process, EntryEvent{MeasureLoop(process)});
      Post(process, EntryEvent{EntryTick{}});
    }
  }
  clock_.ScheduleAfter(kTickInterval, [this, process, incarnation] {
    Tick(process, incarnation);
  });
}

void TestPool::Post(int process, EntryEvent event) {
  Process& it = processes_[process];
  if (it.state == ProcessState::kFrozen) {
    it.pending_entry_events.push_back(std::move(event));
  } else if (it.state != ProcessState::kRunning) {
    return;
  } else if (!options_.entry_cores.empty()) {
    it.pending_entry_events.push_back(std::move(event));
    ScheduleTurn(process);
  } else if (options_.entry_turn.count() == 0) {
    RunEntry(process, {std::move(event)});
  } else {
    it.pending_entry_events.push_back(std::move(event));
    if (std::exchange(it.is_turn_scheduled, true)) return;
    clock_.ScheduleAfter(
        options_.entry_turn, [this, process, incarnation = it.incarnation] {
          Process& turning = processes_[process];
          if (turning.incarnation != incarnation) return;
          turning.is_turn_scheduled = false;
          if (turning.state != ProcessState::kRunning) return;
          RunEntry(process, std::exchange(turning.pending_entry_events, {}));
        });
  }
}

void TestPool::Post(int process, AgentEvent event) {
  Process& it = processes_[process];
  if (it.state == ProcessState::kFrozen) {
    it.pending_agent_events.push_back(std::move(event));
  } else if (it.state == ProcessState::kRunning) {
    RunAgent(process, {std::move(event)});
  }
}

std::size_t TestPool::RunEntry(int process, std::vector<EntryEvent> events) {
  Process& it = processes_[process];
  const Now now{clock_.now(), clock_.wall(), 0};
  const milliseconds pause = PauseDuration(
      std::exchange(it.last_turn, now.boot), now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), EntryPaused{pause});
  const auto effects = Advance(
      &it.entry, events, now,
      [this](const CallId& call) { return !reset_calls_.contains(call); });
  const std::uint64_t version = it.entry.config.version;
  if (version < it.config_version) ++config_regressions_;
  it.config_version = version;
  for (const EntryEffect& effect : effects) {
    std::visit([&](const auto& e) { HandleEffect(process, e); }, effect);
  }
  return std::count_if(effects.begin(), effects.end(), [](const auto& effect) {
    return std::holds_alternative<SendMessage>(effect) ||
           std::holds_alternative<Reply>(effect);
  });
}

void TestPool::RunAgent(int process, std::vector<AgentEvent> events) {
  Process& it = processes_[process];
  const Now now{clock_.now(), clock_.wall(), 0};
  const milliseconds pause = PauseDuration(
      std::exchange(it.last_turn, now.boot), now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), AgentPaused{pause});
  const auto effects = Advance(&it.agent, events, now);
  for (const AgentEffect& effect : effects) {
    std::visit([&](const auto& e) { HandleEffect(process, e); }, effect);
  }
}

void TestPool::EndProcess(int process, ProcessState state) {
  Process& it = processes_[process];
  if (it.state == ProcessState::kEnded) return;
  it.state = state;
  ++it.incarnation;
  it.pending_entry_events.clear();
  it.pending_agent_events.clear();
}

void TestPool::Kill(int process) {
  EndProcess(process, ProcessState::kEnded);
  BreakCalls(process);
  for (auto& [id, link] : links_) {
    if (link.processes[0] == process || link.processes[1] == process)
      Reset(id, SideOf(link, process));
  }
}

void TestPool::PowerOff(int process) {
  EndProcess(process, ProcessState::kPoweredOff);
  for (auto& [id, link] : links_) {
    if (link.processes[0] != process && link.processes[1] != process) continue;
    const int side = SideOf(link, process);
    link.open[side] = false;
    link.undelivered[side].clear();
  }
}

void TestPool::Restart(int process) {
  if (processes_[process].state == ProcessState::kEnded ||
      processes_[process].state == ProcessState::kPoweredOff) {
    BreakCalls(process);
    StartProcess(process);
  }
}

void TestPool::Freeze(int process) {
  if (IsRunning(process)) processes_[process].state = ProcessState::kFrozen;
}

void TestPool::Thaw(int process) {
  Process& it = processes_[process];
  if (it.state != ProcessState::kFrozen) return;
  it.state = ProcessState::kRunning;
  if (IsAgent(process)) {
    auto events = std::exchange(it.pending_agent_events, {});
    events.emplace_back(AgentTick{});
    RunAgent(process, std::move(events));
  } else {
    auto events = std::exchange(it.pending_entry_events, {});
    events.emplace_back(EntryTick{});
    RunEntry(process, std::move(events));
  }
}

void TestPool::Stop(int process) {
  if (IsAgent(process)) {
    Post(process, AgentEvent{AgentStopRequested{}});
  } else {
    Post(process, EntryEvent{EntryStopRequested{}});
  }
}

void TestPool::HandleEffect(int process, const Reply& effect) {
  if (processes_[process].calls.erase(effect.call) == 0) return;
  calls_[effect.call] = CallState::kAnswered;
  replies_[effect.call] = {effect.kind, clock_.now()};
}

void TestPool::HandleEffect(int process, const ExitEntry&) {
  processes_[process].state = ProcessState::kExiting;
  clock_.ScheduleAfter(
      kExitFlushDelay,
      [this, process, incarnation = processes_[process].incarnation] {
        if (processes_[process].incarnation == incarnation) Kill(process);
      });
}

void TestPool::HandleEffect(int process, const ExitAgent&) { Kill(process); }

template <typename Answer>
std::function<void(Answer)> TestPool::WithTimeout(
    int process, milliseconds timeout, Answer none,
    std::function<void(const Answer&)> done) {
  const auto is_over = std::make_shared<bool>(false);
  const std::uint64_t incarnation = processes_[process].incarnation;
  const auto finish = [this, process, incarnation, is_over,
                       done = std::move(done)](const Answer& answer) {
    if (std::exchange(*is_over, true) ||
        processes_[process].incarnation != incarnation)
      return;
    done(answer);
  };
  clock_.ScheduleAfter(timeout, [finish, none] { finish(none); });
  return [this, finish](Answer answer) {
    clock_.ScheduleAfter(kLocalDelay, [finish, answer] { finish(answer); });
  };
}

void TestPool::HandleEffect(int process, const CallStart& effect) {
  const auto done = WithTimeout<CallAnswer>(
      process, effect.timeout, CallAnswer::kUnanswered,
      [this, process, run = effect.run](const CallAnswer& answer) {
        Post(process, AgentEvent{StartAnswered{run, answer}});
      });
  clock_.ScheduleAfter(kLocalDelay, [this, process, effect, done] {
    minions_[process - options_.entries]->Start(effect, done);
  });
}

void TestPool::HandleEffect(int process, const CallStop& effect) {
  const auto done = WithTimeout<CallAnswer>(
      process, effect.timeout, CallAnswer::kUnanswered,
      [this, process, run = effect.run](const CallAnswer& answer) {
        Post(process, AgentEvent{StopAnswered{run, answer}});
      });
  clock_.ScheduleAfter(kLocalDelay, [this, process, effect, done] {
    minions_[process - options_.entries]->Stop(effect, done);
  });
}

void TestPool::HandleEffect(int process, const CallPoll& effect) {
  PollAnswered none;
  none.sequence = effect.sequence;
  const auto done =
      WithTimeout<PollAnswered>(process, effect.timeout, none,
                                [this, process](const PollAnswered& answer) {
                                  Post(process, AgentEvent{answer});
                                });
  clock_.ScheduleAfter(kLocalDelay, [this, process, effect, done] {
    minions_[process - options_.entries]->Look(effect, done);
  });
}

}  // namespace dottereltrack::testing
