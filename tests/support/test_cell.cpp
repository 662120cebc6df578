#include "support/test_cell.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace dottereltrack::testing {
namespace {

constexpr BootTime kTickInterval{50'000};

}  // namespace

TestCell::TestCell(const CellOptions& options)
    : options_(options), random_(options.seed) {
  entries_.resize(options.entries);
  agents_.resize(options.agents);
  for (int n = 0; n < options.entries; ++n) BootEntry(n);
  for (int n = 0; n < options.agents; ++n) {
    const auto last = options.time_ratios.size() - 1;
    agents_[n].time_ratio = options.time_ratios[std::min<std::size_t>(n, last)];
    BootAgent(n);
  }
}

CallId TestCell::Submit(int entry, const SubmitRequest& request) {
  const CallId call{next_id_++};
  PostToEntry(entry, CallerSubmits{call, request, false});
  return call;
}

CallId TestCell::Cancel(int entry, const SubmissionId& submission) {
  const CallId call{next_id_++};
  PostToEntry(entry, CallerCancels{call, submission});
  return call;
}

void TestCell::CancelBatch(int entry,
                           const std::vector<SubmissionId>& submissions) {
  std::vector<EntryEvent> events;
  for (const SubmissionId& id : submissions) {
    events.emplace_back(CallerCancels{CallId{next_id_++}, id});
  }
  RunEntry(entry, events);
}

CallId TestCell::Fetch(int entry, const SubmissionId& submission) {
  const CallId call{next_id_++};
  PostToEntry(entry, CallerFetches{call, submission});
  return call;
}

CallId TestCell::SetConfig(int entry, std::uint64_t expected_version,
                           const CellConfig& config) {
  const CallId call{next_id_++};
  PostToEntry(entry, OperatorSetsConfig{call, expected_version, config});
  return call;
}

const CallerReply* TestCell::ReplyOf(CallId call) const {
  const auto it = replies_.find(call);
  return it == replies_.end() ? nullptr : &it->second;
}

const ReplyToOperator* TestCell::OperatorReplyOf(CallId call) const {
  const auto it = operator_replies_.find(call);
  return it == operator_replies_.end() ? nullptr : &it->second;
}

CallId TestCell::SubmitWithoutKey(int entry, const SubmitRequest& request) {
  const CallId call{next_id_++};
  PostToEntry(entry, CallerSubmits{call, request, true});
  return call;
}

CallId TestCell::ConfirmDead(int entry, const std::vector<AgentId>& agents) {
  const CallId call{next_id_++};
  PostToEntry(entry, OperatorConfirmsDead{call, agents});
  return call;
}

void TestCell::KillEntry(int entry) {
  entries_[entry].alive = false;
  CloseLinksOf(entry);
}

void TestCell::KillAgent(int agent) {
  agents_[agent].alive = false;
  CloseLinksOf(ProcessOfAgent(agent));
}

void TestCell::RestartEntry(int entry) {
  if (!entries_[entry].alive) BootEntry(entry);
}

void TestCell::RestartAgent(int agent) {
  if (!agents_[agent].alive) BootAgent(agent);
}

void TestCell::FreezeEntry(int entry, bool frozen) {
  EntryNode& node = entries_[entry];
  node.frozen = frozen;
  if (frozen || !node.alive) return;
  std::vector<EntryEvent> queued = std::exchange(node.queued, {});
  if (options_.timer_first) queued.insert(queued.begin(), Tick{});
  RunEntry(entry, queued);
}

void TestCell::FreezeAgent(int agent, bool frozen) {
  AgentNode& node = agents_[agent];
  node.frozen = frozen;
  if (frozen || !node.alive) return;
  std::vector<AgentEvent> queued = std::exchange(node.queued, {});
  if (options_.timer_first) queued.insert(queued.begin(), AgentTick{});
  RunAgent(agent, queued);
}

void TestCell::StopEntry(int entry) { PostToEntry(entry, StopRequested{}); }

void TestCell::StopAgent(int agent) {
  PostToAgent(agent, AgentStopRequested{});
}

void TestCell::ReplaceMinion(int agent) {
  AgentNode& node = agents_[agent];
  if (!node.alive) return;
  ++node.minion_instance;
  node.running.clear();
  PostToAgent(agent, MinionAnnounced{DescribeMinion(agent)});
}

void TestCell::RecordConfigRevision(std::uint64_t revision,
                                    std::uint64_t* seen) {
  if (revision < *seen) ++config_regressions_;
  *seen = revision;
}

void TestCell::SetMinionFailing(int agent, bool failing) {
  agents_[agent].failing = failing;
}

void TestCell::SetMinionTimeRatio(int agent, double time_ratio) {
  agents_[agent].time_ratio = time_ratio;
}

int TestCell::Dispatcher() const {
  for (int n = 0; n < entry_count(); ++n) {
    const EntryNode& node = entries_[n];
    const bool dispatches = node.alive && !node.frozen &&
                            node.board.authority.role == Role::kDispatcher;
    if (dispatches) return n;
  }
  return -1;
}

std::vector<TaskId> TestCell::TasksStartedMoreThanOnce() const {
  std::vector<TaskId> tasks;
  for (const auto& [id, n] : starts_) {
    if (n > 1) tasks.push_back(id);
  }
  return tasks;
}

Now TestCell::MakeNow() { return {now(), wall(), random_()}; }

int TestCell::RackOfAgent(int n) const {
  return options_.agents_per_rack > 0 ? n / options_.agents_per_rack
                                      : n % options_.racks;
}

int TestCell::DataCentreOf(int process) const {
  if (!IsAgentProcess(process)) return process;
  const int rack = RackOfAgent(process - entry_count());
  return options_.agents_per_rack > 0 ? rack % entry_count() : rack;
}

BootTime TestCell::DelayBetween(int process, int other_process) const {
  const bool local = DataCentreOf(process) == DataCentreOf(other_process);
  return local ? options_.local_delay.value_or(options_.delay) : options_.delay;
}

std::uint64_t TestCell::IncarnationOf(int process) const {
  return IsAgentProcess(process) ? agents_[process - entry_count()].incarnation
                                 : entries_[process].incarnation;
}

bool TestCell::IsAlive(int process) const {
  return IsAgentProcess(process) ? agents_[process - entry_count()].alive
                                 : entries_[process].alive;
}

void TestCell::PostToEntry(int entry, EntryEvent event) {
  EntryNode& node = entries_[entry];
  if (!node.alive) return;
  if (node.frozen) {
    node.queued.push_back(std::move(event));
  } else {
    RunEntry(entry, {std::move(event)});
  }
}

void TestCell::PostToAgent(int agent, AgentEvent event) {
  AgentNode& node = agents_[agent];
  if (!node.alive) return;
  if (node.frozen) {
    node.queued.push_back(std::move(event));
  } else {
    RunAgent(agent, {std::move(event)});
  }
}

void TestCell::RunEntry(int entry, const std::vector<EntryEvent>& events) {
  EntryNode& node = entries_[entry];
  const auto effects = Advance(&node.board, events, MakeNow());
  RecordConfigRevision(node.board.stored_config.revision, &node.config_seen);
  for (const EntryEffect& effect : effects) PerformEffect(entry, effect);
}

void TestCell::RunAgent(int agent, const std::vector<AgentEvent>& events) {
  std::vector<Endpoint> seeds;
  for (int n = 0; n < entry_count(); ++n) {
    seeds.push_back({"entry", static_cast<std::uint16_t>(n)});
  }
  AgentNode& node = agents_[agent];
  const auto effects = Advance(&node.board, seeds, events, MakeNow());
  RecordConfigRevision(node.board.config.revision, &node.config_seen);
  for (const AgentEffect& effect : effects) PerformEffect(agent, effect);
}

void TestCell::PerformEffect(int entry, const EntryEffect& effect) {
  if (const auto* send = std::get_if<SendToAgent>(&effect)) {
    Deliver(entry, send->link, send->message);
  } else if (const auto* peer = std::get_if<SendToPeer>(&effect)) {
    Deliver(entry, peer->link, peer->message);
  } else if (const auto* reply = std::get_if<ReplyToCaller>(&effect)) {
    replies_.insert_or_assign(reply->call, CallerReply{reply->reply, now()});
  } else if (const auto* operator_reply =
                 std::get_if<ReplyToOperator>(&effect)) {
    operator_replies_.insert_or_assign(operator_reply->call, *operator_reply);
  } else if (const auto* dial = std::get_if<DialPeer>(&effect)) {
    const EntryId id = dial->peer;
    Dial(entry, dial->address, [this, entry, id](bool ok, LinkId link) {
      if (ok) {
        PostToEntry(entry, PeerDialed{link, id});
      } else {
        PostToEntry(entry, PeerDialFailed{id});
      }
    });
  } else if (const auto* close = std::get_if<CloseLink>(&effect)) {
    CloseLinkFrom(close->link, entry);
  } else if (std::holds_alternative<ReadTable>(effect)) {
    ReadStore(entry, true);
  } else if (std::holds_alternative<ReadConfig>(effect)) {
    ReadStore(entry, false);
  } else if (const auto* table = std::get_if<WriteTable>(&effect)) {
    WriteStore(entry, *table);
  } else if (const auto* config = std::get_if<WriteConfig>(&effect)) {
    WriteStore(entry, *config);
  } else if (std::holds_alternative<ExitProcess>(effect)) {
    KillEntry(entry);
  }
}

void TestCell::PerformEffect(int agent, const AgentEffect& effect) {
  if (const auto* send = std::get_if<SendToEntry>(&effect)) {
    Deliver(ProcessOfAgent(agent), send->link, send->message);
  } else if (const auto* start = std::get_if<StartOnMinion>(&effect)) {
    StartTask(agent, start->start);
  } else if (const auto* abort = std::get_if<AbortOnMinion>(&effect)) {
    const TaskId task = abort->task;
    const std::uint64_t incarnation = agents_[agent].incarnation;
    clock_.ScheduleAt(now(), [this, agent, task, incarnation] {
      if (agents_[agent].incarnation != incarnation) return;
      // The minion abandons the task when its connection is closed.
      if (agents_[agent].running.erase(task) == 0) return;
      PostToAgent(
          agent, AttemptEnded{
                     task, AttemptEnd::kUnknown, std::string("abandoned"), {}});
    });
  } else if (const auto* dial = std::get_if<DialEntry>(&effect)) {
    const Endpoint address = dial->address;
    Dial(ProcessOfAgent(agent), address,
         [this, agent, address](bool ok, LinkId link) {
           if (ok) {
             PostToAgent(agent, EntryDialed{address, link});
           } else {
             PostToAgent(agent, EntryDialFailed{address});
           }
         });
  } else if (const auto* close = std::get_if<CloseEntryLink>(&effect)) {
    CloseLinkFrom(close->link, ProcessOfAgent(agent));
  } else if (std::holds_alternative<ExitAgent>(effect)) {
    KillAgent(agent);
  }
}

void TestCell::StartTask(int agent, const TaskStart& start) {
  AgentNode& node = agents_[agent];
  ++starts_[start.id];
  node.running.insert(start.id);
  const auto busy = static_cast<std::uint32_t>(node.running.size());
  if (busy > options_.slots) {
    overcommitted_slots_ =
        std::max(overcommitted_slots_, busy - options_.slots);
  }
  // The payload starts with the run time in ms on a minion with a time ratio of
  // 1, followed by text.
  const double declared_us = std::stod(*start.payload) * 1'000;
  const bool failing = node.failing;
  const BootTime run_time{
      failing ? 1'000
              : static_cast<std::int64_t>(declared_us * node.time_ratio)};
  const std::uint64_t incarnation = node.incarnation;
  const std::string output = "result of " + *start.payload;
  clock_.ScheduleAt(now() + run_time, [this, agent, start, incarnation, failing,
                                       run_time, output] {
    FinishTask(agent, start, incarnation,
               {start.id, failing ? AttemptEnd::kFailed : AttemptEnd::kDone,
                failing ? std::string("refused") : output, run_time});
  });
  // At the deadline the agent stops waiting for the minion and closes the
  // connection.
  clock_.ScheduleAt(now() + start.timeout, [this, agent, start, incarnation] {
    FinishTask(agent, start, incarnation,
               {start.id, AttemptEnd::kUnknown, std::string("timeout"), {}});
  });
}

void TestCell::FinishTask(int agent, const TaskStart& start,
                          std::uint64_t incarnation, AttemptEnded end) {
  AgentNode& node = agents_[agent];
  const bool same = node.incarnation == incarnation &&
                    node.minion_instance == start.minion_instance;
  if (!same || node.running.erase(start.id) == 0) return;
  PostToAgent(agent, std::move(end));
}

void TestCell::ScheduleTick(int process, std::uint64_t incarnation) {
  clock_.ScheduleAt(now() + kTickInterval, [this, process, incarnation] {
    if (IncarnationOf(process) != incarnation || !IsAlive(process)) return;
    if (IsAgentProcess(process)) {
      // A frozen process does not accumulate ticks: on resuming it handles one
      // late timer, not many.
      if (!agents_[process - entry_count()].frozen) {
        PostToAgent(process - entry_count(), AgentTick{});
      }
    } else if (!entries_[process].frozen) {
      PostToEntry(process, Tick{});
    }
    ScheduleTick(process, incarnation);
  });
}

void TestCell::BootEntry(int n) {
  EntryNode& node = entries_[n];
  node = EntryNode{};
  node.incarnation = next_id_++;
  node.board.settings = options_.entry_settings;
  node.board.settings.id = EntryId{random_()};
  node.board.settings.peer_address = {"entry", static_cast<std::uint16_t>(n)};
  node.board.settings.data_centre = "dc-" + std::to_string(n);
  for (int i = 0; options_.seeds && i < entry_count(); ++i) {
    node.board.settings.seeds.push_back(
        {"entry", static_cast<std::uint16_t>(i)});
  }
  PostToEntry(n, Tick{});
  NotifyWatch(n);
  ScheduleTick(n, node.incarnation);
}

void TestCell::BootAgent(int n) {
  AgentNode& node = agents_[n];
  const double time_ratio = node.time_ratio;
  const std::uint64_t instance = node.minion_instance;
  node = AgentNode{};
  node.time_ratio = time_ratio;
  node.minion_instance = instance + 1;
  node.incarnation = next_id_++;
  node.board.settings.id = AgentId{random_()};
  PostToAgent(n, MinionAnnounced{DescribeMinion(n)});
  ScheduleTick(ProcessOfAgent(n), node.incarnation);
}

MinionDescription TestCell::DescribeMinion(int n) const {
  MinionDescription minion;
  minion.name = "minion-" + std::to_string(n);
  minion.instance = agents_[n].minion_instance;
  minion.labels = {{"site", n % 2 == 0 ? "even" : "odd"}};
  minion.slots = options_.slots;
  minion.connections = 64;
  minion.memory_bytes = 64ULL << 30;
  minion.rack = "rack-" + std::to_string(RackOfAgent(n));
  minion.data_centre = "dc-" + std::to_string(DataCentreOf(ProcessOfAgent(n)));
  return minion;
}

SubmitRequest MakeRequest(const std::string& team, const std::string& key,
                          int count) {
  SubmitRequest request;
  request.team = team;
  request.key = key;
  request.kind = "test";
  for (int n = 0; n < count; ++n) {
    TaskSpec task;
    task.declared_time = milliseconds{100};
    task.payload = "100 " + team + "/" + key + "/" + std::to_string(n);
    request.tasks.push_back(task);
  }
  request.body_digest = ComputeDigest(team + key + std::to_string(count));
  return request;
}

std::string TimedKey(WallTime issued, std::uint64_t n) {
  char buf[64];
  const auto ms = static_cast<std::uint64_t>(issued.count());
  std::snprintf(buf, sizeof(buf), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(ms >> 16),
                static_cast<unsigned long long>(ms & 0xffff),
                static_cast<unsigned long long>(n & 0xffffffffffffULL));
  return buf;
}

}  // namespace dottereltrack::testing
