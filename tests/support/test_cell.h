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

// Behaviour of the fake store.
enum class StoreMode {
  kUp,
  // Every call fails and has no effect.
  kDown,
  // Writes take effect, but the replies are lost.
  kLosesReplies,
  // Writes take effect after the entry has been told that their outcome is
  // undecided.
  kWritesLate,
  // Every call takes fifty times as long as usual.
  kSlow,
};

struct CellOptions {
  int entries = 2;
  int agents = 3;
  int racks = 3;
  std::uint32_t slots = 8;
  // One-way delay of messages between data centres.
  BootTime delay{500};
  // One-way delay within a data centre; defaults to `delay`.
  std::optional<BootTime> local_delay;
  // Number of consecutive agents in each rack, with all agents of a rack in one
  // data centre. 0 assigns agents to `racks` round-robin.
  int agents_per_rack = 0;
  BootTime store_delay{3'000};
  EntrySettings entry_settings;
  std::uint64_t seed = 1;
  // Whether a process that resumes handles its timer before the messages that
  // were queued meanwhile.
  bool timer_first = false;
  // Whether entries know each other's addresses as seeds and can connect
  // without a table.
  bool seeds = true;
  // Ratio of run time to declared time of each minion; the last value applies
  // to all further minions.
  std::vector<double> time_ratios{1.0};
};

// A reply to a caller and the time at which it arrived.
struct CallerReply {
  Reply reply;
  BootTime at{0};
};

// Runs the production decision code of several entries and agents on a virtual
// clock, with fakes for links, store and minions. Runs are deterministic: equal
// options and calls give equal results.
class TestCell {
 public:
  explicit TestCell(const CellOptions& options);

  // Runs the simulation until the given virtual time.
  void RunUntil(BootTime until) { clock_.RunUntil(until); }
  void RunFor(BootTime duration) { RunUntil(now() + duration); }
  BootTime now() const { return clock_.now(); }
  WallTime wall() const { return clock_.wall(); }

  // Submits a request through an entry and returns the id under which ReplyOf
  // finds the reply.
  CallId Submit(int entry, const SubmitRequest& request);
  CallId Cancel(int entry, const SubmissionId& submission);
  // Cancels all submissions in a single turn of the entry's event loop.
  void CancelBatch(int entry, const std::vector<SubmissionId>& submissions);
  CallId Fetch(int entry, const SubmissionId& submission);
  CallId SetConfig(int entry, std::uint64_t expected_version,
                   const CellConfig& config);
  const CallerReply* ReplyOf(CallId call) const;
  const ReplyToOperator* OperatorReplyOf(CallId call) const;

  void KillEntry(int entry);
  void KillAgent(int agent);
  // Restart a dead process as a new incarnation.
  void RestartEntry(int entry);
  void RestartAgent(int agent);
  void FreezeEntry(int entry, bool frozen);
  void FreezeAgent(int agent, bool frozen);
  void StopEntry(int entry);
  void StopAgent(int agent);
  // Closes all connections between an entry and an agent. They may reconnect.
  void CutLinks(int entry, int agent) {
    CutLinksBetween(entry, ProcessOfAgent(agent));
  }
  // Index of an agent among the processes. Entries come first, so the index of
  // an entry is its number.
  int ProcessOfAgent(int agent) const { return entry_count() + agent; }
  // Closes all connections between any two processes, given by their indexes.
  void CutLinksBetween(int process, int other_process);
  // Closes all connections between two processes and makes every dial between
  // them fail until unblocked.
  void Block(int process, int other_process, bool blocked);
  // Delays all messages in flight between two processes, and later messages on
  // the same connections, until the given time.
  void Stall(int process, int other_process, BootTime until);
  void SetStoreMode(StoreMode mode);
  // Disconnects one entry from the store.
  void CutStore(int entry) { entries_[entry].store_cut = true; }
  // Restarts the minion at the same address; its running tasks are lost.
  void ReplaceMinion(int agent);
  // Makes the minion announce to its agent that it is leaving.
  void AnnounceMinionLeaving(int agent) { PostToAgent(agent, MinionLeaving{}); }
  CallId ConfirmDead(int entry, const std::vector<AgentId>& agents);
  CallId SubmitWithoutKey(int entry, const SubmitRequest& request);
  // While set, every task fails on that minion after 1 ms.
  void SetMinionFailing(int agent, bool failing);
  void SetMinionTimeRatio(int agent, double time_ratio);

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
  // Number of times a process adopted an older configuration than it had
  // before.
  int config_regressions() const { return config_regressions_; }
  // Index of the running entry that is the dispatcher, or -1 if there is none.
  int Dispatcher() const;

  // Number of times each task was started, over all minions.
  const std::map<TaskId, int>& starts() const { return starts_; }
  // Returns the tasks that were started more than once.
  std::vector<TaskId> TasksStartedMoreThanOnce() const;
  // Largest number of tasks beyond its slots that a minion ran at once.
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
    // Events that arrived while the process was frozen.
    std::vector<EntryEvent> queued;
    std::uint64_t incarnation = 0;
    std::uint64_t config_seen = 0;
  };
  struct AgentNode {
    AgentBoard board;
    bool alive = true;
    bool frozen = false;
    // Events that arrived while the process was frozen.
    std::vector<AgentEvent> queued;
    std::uint64_t incarnation = 0;
    std::uint64_t minion_instance = 1;
    double time_ratio = 1.0;
    bool failing = false;
    // Tasks that are running on the minion.
    std::set<TaskId> running;
    std::uint64_t config_seen = 0;
  };
  // A connection between two processes, which are numbered entries first, then
  // agents.
  struct Link {
    int from = 0;
    int to = 0;
    bool open = true;
    std::uint64_t from_incarnation = 0;
    std::uint64_t to_incarnation = 0;
    // Time of the newest delivery in each direction; later messages are not
    // delivered before it, which keeps them in order.
    BootTime last_delivery[2] = {BootTime{0}, BootTime{0}};
  };

  Now MakeNow();
  bool IsAgentProcess(int process) const { return process >= entry_count(); }
  int RackOfAgent(int n) const;
  int DataCentreOf(int process) const;
  BootTime DelayBetween(int process, int other_process) const;
  std::uint64_t IncarnationOf(int process) const;
  bool IsAlive(int process) const;

  void PostToEntry(int entry, EntryEvent event);
  void PostToAgent(int agent, AgentEvent event);
  void RunEntry(int entry, const std::vector<EntryEvent>& events);
  void RunAgent(int agent, const std::vector<AgentEvent>& events);
  void PerformEffect(int entry, const EntryEffect& effect);
  void PerformEffect(int agent, const AgentEffect& effect);
  void Deliver(int source, LinkId link, EntryToAgent message);
  void Deliver(int source, LinkId link, EntryToEntry message);
  void Deliver(int source, LinkId link, AgentToEntry message);
  void DeliverOverLink(int source, LinkId link,
                       std::function<void(int target)> action);
  LinkId OpenLink(int source, int target);
  void CloseLinksOf(int process);
  void CloseLinkFrom(LinkId link, int closed_by);
  void Dial(int source, const Endpoint& address,
            std::function<void(bool, LinkId)> done);
  void StartTask(int agent, const TaskStart& start);
  void ReadStore(int entry, bool is_table_read);
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
  void RecordConfigRevision(std::uint64_t revision, std::uint64_t* seen);
  MinionDescription DescribeMinion(int agent) const;
  void ScheduleTick(int process, std::uint64_t incarnation);
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
  // Pairs of processes that cannot connect to each other.
  std::set<std::pair<int, int>> blocked_;
  std::uint64_t messages_ = 0;
  MessageTally tally_;
  std::uint64_t store_calls_ = 0;
};

// Returns a job of `count` tasks of 100 ms each, whose payloads contain the
// index of the task.
SubmitRequest MakeRequest(const std::string& team, const std::string& key,
                          int count);

// Returns a UUIDv7 key with the given issue time.
std::string TimedKey(WallTime issued, std::uint64_t n);

}  // namespace dottereltrack::testing
