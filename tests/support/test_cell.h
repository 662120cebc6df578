#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/agent/advance.h"
#include "core/entry/advance.h"
#include "support/message_tally.h"
#include "support/virtual_clock.h"

namespace dottereltrack::testing {

// What the fake store does with calls.
enum class StoreMode {
  kUp,
  // Every call fails without effect.
  kDown,
  // Writes take effect, but their answers are lost.
  kLosesAnswers,
  // Writes take effect after the caller was told that they may or may not.
  kWritesLate,
  // Every call takes fifty times as long.
  kSlow,
};

struct CellOptions {
  int entries = 2;
  int agents = 3;
  int racks = 3;
  std::uint32_t slots = 8;
  // One-way delay of messages between data centres.
  BootTime delay{500};
  // One-way delay inside a data centre; empty if it is the same.
  std::optional<BootTime> local_delay;
  // Agents that share a rack in a row, one data centre to a rack; 0 deals the
  // agents out to `racks` in turn.
  int agents_per_rack = 0;
  BootTime store_delay{3'000};
  EntrySettings entry_settings;
  std::uint64_t seed = 1;
  // A process that resumes sees its timer before the messages that wait.
  bool timer_first = false;
  // Entries dial each other's addresses without a table.
  bool seeds = true;
  // Run time over declared time of each minion; the last one repeats.
  std::vector<double> speeds{1.0};
};

// A caller's reply with the time at which it arrived.
struct CallerReply {
  Reply reply;
  BootTime at{0};
};

// Runs the real decision code of a few entries and agents on a virtual clock,
// with fakes of links, store and minions at its interfaces. Equal options and
// calls give equal runs.
class TestCell {
 public:
  explicit TestCell(const CellOptions& options);

  // Runs until the given time on the virtual clock.
  void RunUntil(BootTime until) { clock_.RunUntil(until); }
  void RunFor(BootTime duration) { RunUntil(now() + duration); }
  BootTime now() const { return clock_.now(); }
  WallTime wall() const { return clock_.wall(); }

  // Submits through an entry; the call id names the reply.
  CallId Submit(int entry, const SubmitRequest& request);
  CallId Cancel(int entry, const SubmissionId& submission);
  // All in one turn of the entry's loop.
  void CancelBatch(int entry, const std::vector<SubmissionId>& submissions);
  CallId Fetch(int entry, const SubmissionId& submission);
  CallId SetConfig(int entry, std::uint64_t expected_version,
                   const CellConfig& config);
  const CallerReply* ReplyOf(CallId call) const;
  const ReplyToOperator* OperatorReplyOf(CallId call) const;

  void KillEntry(int entry);
  void KillAgent(int agent);
  // Starts a new incarnation in the place of a dead process.
  void RestartEntry(int entry);
  void RestartAgent(int agent);
  void FreezeEntry(int entry, bool frozen);
  void FreezeAgent(int agent, bool frozen);
  void StopEntry(int entry);
  void StopAgent(int agent);
  // Closes all connections between an entry and an agent. They may dial again.
  void CutLinks(int entry, int agent) { CutEnds(entry, AgentEnd(agent)); }
  // The number of an agent among the link ends; entries have their own.
  int AgentEnd(int agent) const { return entry_count() + agent; }
  // The same for any two processes.
  void CutEnds(int end, int other);
  // Closes the connections and lets every dial fail until it is unblocked.
  void Block(int end, int other, bool blocked);
  // Delays all messages under way between two processes, and those that follow
  // on the same connections, until then.
  void Stall(int end, int other, BootTime until);
  void SetStoreMode(StoreMode mode);
  // Cuts one entry off the store.
  void CutStore(int entry) { entries_[entry].store_cut = true; }
  // The minion restarts at the same address; what it ran is gone.
  void ReplaceMinion(int agent);
  // The minion tells its agent that it leaves.
  void LeaveMinion(int agent) { PostToAgent(agent, MinionLeaving{}); }
  CallId ConfirmDead(int entry, const std::vector<AgentId>& agents);
  CallId SubmitWithoutKey(int entry, const SubmitRequest& request);
  // All tasks of that minion fail, at once.
  void SetMinionFailing(int agent, bool failing);
  void SetMinionSpeed(int agent, double time_ratio);

  int entry_count() const { return static_cast<int>(entries_.size()); }
  int agent_count() const { return static_cast<int>(agents_.size()); }
  bool IsEntryAlive(int entry) const { return entries_[entry].alive; }
  bool IsAgentAlive(int agent) const { return agents_[agent].alive; }
  const EntryBoard& entry(int n) const { return entries_[n].board; }
  const AgentBoard& agent(int n) const { return agents_[n].board; }
  bool IsEntryFrozen(int entry) const { return entries_[entry].frozen; }
  bool IsAgentFrozen(int agent) const { return agents_[agent].frozen; }
  const StoredTable& stored_table() const { return table_; }
  const StoredConfig& stored_config() const { return config_; }
  // Times that a node went back to an older configuration.
  int config_regressions() const { return config_regressions_; }
  // Index of the living entry that may place tasks; -1 if there is none.
  int Dispatcher() const;

  // How often a minion has begun each task, over all agents.
  const std::map<TaskId, int>& starts() const { return starts_; }
  // Tasks that were begun more than once.
  std::vector<TaskId> DoubleStarts() const;
  // Most tasks that ran at the same time on one minion beyond its slots.
  std::uint32_t overcommitted_slots() const { return overcommitted_slots_; }
  std::uint64_t messages() const { return messages_; }
  const MessageTally& tally() const { return tally_; }
  std::uint64_t store_calls() const { return store_calls_; }

 private:
  struct EntryNode {
    EntryBoard board;
    bool alive = true;
    bool frozen = false;
    bool store_cut = false;
    std::vector<EntryEvent> held;
    std::uint64_t incarnation = 0;
    std::uint64_t config_seen = 0;
  };
  struct AgentNode {
    AgentBoard board;
    bool alive = true;
    bool frozen = false;
    std::vector<AgentEvent> held;
    std::uint64_t incarnation = 0;
    std::uint64_t minion_instance = 1;
    double speed = 1.0;
    bool failing = false;
    // Tasks that the minion runs.
    std::set<TaskId> running;
    std::uint64_t config_seen = 0;
  };
  // Agents come after entries in the numbering of link ends.
  struct Link {
    int from = 0;
    int to = 0;
    bool open = true;
    std::uint64_t from_incarnation = 0;
    std::uint64_t to_incarnation = 0;
    // Deliveries keep their order in each direction.
    BootTime last_delivery[2] = {BootTime{0}, BootTime{0}};
  };

  Now MakeNow();
  bool IsAgentEnd(int end) const { return end >= entry_count(); }
  int RackOfAgent(int n) const;
  int DataCentreOf(int end) const;
  BootTime DelayBetween(int end, int other) const;
  std::uint64_t IncarnationOf(int end) const;
  bool IsAlive(int end) const;

  void PostToEntry(int entry, EntryEvent event);
  void PostToAgent(int agent, AgentEvent event);
  void RunEntry(int entry, const std::vector<EntryEvent>& events);
  void RunAgent(int agent, const std::vector<AgentEvent>& events);
  void Do(int entry, const EntryEffect& effect);
  void Do(int agent, const AgentEffect& effect);
  void Deliver(int from_end, LinkId link, EntryToAgent message);
  void Deliver(int from_end, LinkId link, EntryToEntry message);
  void Deliver(int from_end, LinkId link, AgentToEntry message);
  void DeliverBy(int from_end, LinkId link,
                 std::function<void(int to_end)> action);
  LinkId OpenLink(int from_end, int to_end);
  void CloseLinksOf(int end);
  void CloseOne(LinkId link, int closed_by);
  void Dial(int from_end, const Endpoint& address,
            std::function<void(bool, LinkId)> done);
  void StartTask(int agent, const TaskStart& start);
  void ReadStore(int entry, bool table);
  void WriteStore(int entry, const WriteTable& write);
  void WriteStore(int entry, const WriteConfig& write);
  void NotifyWatches();
  void NotifyWatch(int entry);
  BootTime StoreDelay() const;
  bool IsStoreDown(int entry) const {
    return store_mode_ == StoreMode::kDown || entries_[entry].store_cut;
  }
  void FinishTask(int agent, const TaskStart& start, std::uint64_t incarnation,
                  AttemptEnded end);
  void NoteConfig(std::uint64_t revision, std::uint64_t* seen);
  MinionDescription DescribeMinion(int agent) const;
  void ScheduleTick(int end, std::uint64_t incarnation);
  void BootEntry(int entry);
  void BootAgent(int agent);

  CellOptions options_;
  std::mt19937_64 random_;
  VirtualClock clock_;
  std::uint64_t next_id_ = 1;
  std::vector<EntryNode> entries_;
  std::vector<AgentNode> agents_;
  std::map<LinkId, Link> links_;
  std::map<CallId, CallerReply> replies_;
  std::map<CallId, ReplyToOperator> operator_replies_;
  std::map<TaskId, int> starts_;
  StoredTable table_;
  StoredConfig config_;
  StoreMode store_mode_ = StoreMode::kUp;
  std::uint32_t overcommitted_slots_ = 0;
  int config_regressions_ = 0;
  // Pairs of link ends that cannot connect.
  std::set<std::pair<int, int>> blocked_;
  std::uint64_t messages_ = 0;
  MessageTally tally_;
  std::uint64_t store_calls_ = 0;
};

// A job of `count` tasks of 100 ms whose payloads name their index. A timed key
// carries the issue time; otherwise the key is opaque.
SubmitRequest MakeRequest(const std::string& team, const std::string& key,
                          int count);

// A UUIDv7 key issued at that time.
std::string TimedKey(WallTime issued, std::uint64_t n);

}  // namespace dottereltrack::testing
