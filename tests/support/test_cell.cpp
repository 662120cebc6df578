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
    const auto last = options.speeds.size() - 1;
    agents_[n].speed = options.speeds[std::min<std::size_t>(n, last)];
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
  CloseLinksOf(AgentEnd(agent));
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
  std::vector<EntryEvent> held = std::exchange(node.held, {});
  if (options_.timer_first) held.insert(held.begin(), Tick{});
  RunEntry(entry, held);
}

void TestCell::FreezeAgent(int agent, bool frozen) {
  AgentNode& node = agents_[agent];
  node.frozen = frozen;
  if (frozen || !node.alive) return;
  std::vector<AgentEvent> held = std::exchange(node.held, {});
  if (options_.timer_first) held.insert(held.begin(), AgentTick{});
  RunAgent(agent, held);
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

void TestCell::NoteConfig(std::uint64_t revision, std::uint64_t* seen) {
  if (revision < *seen) ++config_regressions_;
  *seen = revision;
}

void TestCell::SetMinionFailing(int agent, bool failing) {
  agents_[agent].failing = failing;
}

void TestCell::SetMinionSpeed(int agent, double time_ratio) {
  agents_[agent].speed = time_ratio;
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

std::vector<TaskId> TestCell::DoubleStarts() const {
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

int TestCell::DataCentreOf(int end) const {
  if (!IsAgentEnd(end)) return end;
  const int rack = RackOfAgent(end - entry_count());
  return options_.agents_per_rack > 0 ? rack % entry_count() : rack;
}

BootTime TestCell::DelayBetween(int end, int other) const {
  const bool local = DataCentreOf(end) == DataCentreOf(other);
  return local ? options_.local_delay.value_or(options_.delay) : options_.delay;
}

std::uint64_t TestCell::IncarnationOf(int end) const {
  return IsAgentEnd(end) ? agents_[end - entry_count()].incarnation
                         : entries_[end].incarnation;
}

bool TestCell::IsAlive(int end) const {
  return IsAgentEnd(end) ? agents_[end - entry_count()].alive
                         : entries_[end].alive;
}

void TestCell::PostToEntry(int entry, EntryEvent event) {
  EntryNode& node = entries_[entry];
  if (!node.alive) return;
  if (node.frozen) {
    node.held.push_back(std::move(event));
  } else {
    RunEntry(entry, {std::move(event)});
  }
}

void TestCell::PostToAgent(int agent, AgentEvent event) {
  AgentNode& node = agents_[agent];
  if (!node.alive) return;
  if (node.frozen) {
    node.held.push_back(std::move(event));
  } else {
    RunAgent(agent, {std::move(event)});
  }
}

void TestCell::RunEntry(int entry, const std::vector<EntryEvent>& events) {
  EntryNode& node = entries_[entry];
  const auto effects = Advance(&node.board, events, MakeNow());
  NoteConfig(node.board.config.revision, &node.config_seen);
  for (const EntryEffect& effect : effects) Do(entry, effect);
}

void TestCell::RunAgent(int agent, const std::vector<AgentEvent>& events) {
  std::vector<Endpoint> seeds;
  for (int n = 0; n < entry_count(); ++n) {
    seeds.push_back({"entry", static_cast<std::uint16_t>(n)});
  }
  AgentNode& node = agents_[agent];
  const auto effects = Advance(&node.board, seeds, events, MakeNow());
  NoteConfig(node.board.config.revision, &node.config_seen);
  for (const AgentEffect& effect : effects) Do(agent, effect);
}

void TestCell::Do(int entry, const EntryEffect& effect) {
  if (const auto* send = std::get_if<SendToAgent>(&effect)) {
    Deliver(entry, send->link, send->message);
  } else if (const auto* peer = std::get_if<SendToPeer>(&effect)) {
    Deliver(entry, peer->link, peer->message);
  } else if (const auto* reply = std::get_if<ReplyToCaller>(&effect)) {
    replies_.insert_or_assign(reply->call, CallerReply{reply->reply, now()});
  } else if (const auto* told = std::get_if<ReplyToOperator>(&effect)) {
    operator_replies_.insert_or_assign(told->call, *told);
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
    CloseOne(close->link, entry);
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

void TestCell::Do(int agent, const AgentEffect& effect) {
  if (const auto* send = std::get_if<SendToEntry>(&effect)) {
    Deliver(AgentEnd(agent), send->link, send->message);
  } else if (const auto* start = std::get_if<StartOnMinion>(&effect)) {
    StartTask(agent, start->start);
  } else if (const auto* abort = std::get_if<AbortOnMinion>(&effect)) {
    const TaskId task = abort->task;
    const std::uint64_t incarnation = agents_[agent].incarnation;
    clock_.ScheduleAt(now(), [this, agent, task, incarnation] {
      if (agents_[agent].incarnation != incarnation) return;
      // The minion abandons the task when its connection closes.
      if (agents_[agent].running.erase(task) == 0) return;
      PostToAgent(
          agent, AttemptEnded{
                     task, AttemptEnd::kUnknown, std::string("abandoned"), {}});
    });
  } else if (const auto* dial = std::get_if<DialEntry>(&effect)) {
    const Endpoint address = dial->address;
    Dial(AgentEnd(agent), address,
         [this, agent, address](bool ok, LinkId link) {
           if (ok) {
             PostToAgent(agent, EntryDialed{address, link});
           } else {
             PostToAgent(agent, EntryDialFailed{address});
           }
         });
  } else if (const auto* close = std::get_if<CloseEntryLink>(&effect)) {
    CloseOne(close->link, AgentEnd(agent));
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
  // The payload is the run time in ms on a minion of speed 1, then the text.
  const double declared_us = std::stod(*start.payload) * 1'000;
  const bool failing = node.failing;
  const BootTime run_time{
      failing ? 1'000 : static_cast<std::int64_t>(declared_us * node.speed)};
  const std::uint64_t incarnation = node.incarnation;
  const std::string output = "result of " + *start.payload;
  clock_.ScheduleAt(now() + run_time, [this, agent, start, incarnation, failing,
                                       run_time, output] {
    FinishTask(agent, start, incarnation,
               {start.id, failing ? AttemptEnd::kFailed : AttemptEnd::kDone,
                failing ? std::string("refused") : output, run_time});
  });
  // The agent gives up on the minion at the deadline and closes the connection.
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

void TestCell::ScheduleTick(int end, std::uint64_t incarnation) {
  clock_.ScheduleAt(now() + kTickInterval, [this, end, incarnation] {
    if (IncarnationOf(end) != incarnation || !IsAlive(end)) return;
    if (IsAgentEnd(end)) {
      // A paused process has one timer that fires late, not many.
      if (!agents_[end - entry_count()].frozen) {
        PostToAgent(end - entry_count(), AgentTick{});
      }
    } else if (!entries_[end].frozen) {
      PostToEntry(end, Tick{});
    }
    ScheduleTick(end, incarnation);
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
  const double speed = node.speed;
  const std::uint64_t instance = node.minion_instance;
  node = AgentNode{};
  node.speed = speed;
  node.minion_instance = instance + 1;
  node.incarnation = next_id_++;
  node.board.settings.id = AgentId{random_()};
  PostToAgent(n, MinionAnnounced{DescribeMinion(n)});
  ScheduleTick(AgentEnd(n), node.incarnation);
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
  minion.data_centre = "dc-" + std::to_string(DataCentreOf(AgentEnd(n)));
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
