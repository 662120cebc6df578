#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/pool/agent/advance.h"
#include "core/pool/entry/advance.h"
#include "support/fake_minion.h"
#include "support/virtual_clock.h"

namespace dottereltrack::testing {

struct PoolOptions {
  int entries = 3;
  int agents = 4;
  pool::Resources capacity{24'000, 1'000, 0};
  // Capacity of each minion; empty if all have `capacity`.
  std::vector<pool::Resources> capacities;
  // Ratio of actual run time to the time in the payload, for each minion; the
  // last value applies to all further minions.
  std::vector<double> time_ratios{1.0};
  // Rate of the clock of each minion; the last value applies to all further
  // minions.
  std::vector<double> clock_rates{1.0};
  // Data centre of each minion; the last value applies to all further minions.
  std::vector<std::string> data_centres{""};
  // One-way delay between two processes; entries are numbered before agents.
  std::function<BootTime(int process, int other)> delay;
  // All queues have the service of the first one.
  std::vector<pool::QueueConfig> queues{DefaultQueue()};
  // Number of entries that a process links to.
  std::size_t max_entry_links = pool::AgentSettings{}.max_entry_links;
  std::uint64_t seed = 1;
  // Data centre of each entry; empty if all are in one.
  std::vector<std::string> entry_data_centres;
  // Processor share of each entry in cores, from which its turns take time;
  // empty if they take none.
  std::vector<double> entry_cores;
  // Load from which on an entry forwards jobs.
  double overload_enter_share = pool::EntrySettings{}.overload_enter_share;
  // Duration of a turn of an entry's event loop. Events that arrive during a
  // turn are handled together; 0 handles each at once.
  BootTime entry_turn{0};

  static pool::QueueConfig DefaultQueue();
};

// Numbers of messages between the processes of the pool.
struct PoolMessageCounts {
  // Starts and results.
  std::uint64_t work_messages = 0;
  // All others.
  std::uint64_t overhead_messages = 0;
  std::uint64_t results = 0;
  friend bool operator==(const PoolMessageCounts&,
                         const PoolMessageCounts&) = default;
};

struct PoolReply {
  pool::ReplyKind kind = pool::ReplyKind::kCompleted;
  BootTime at{0};
};

// State of a call from the view of its client.
enum class CallState { kOpen, kAnswered, kBroken };

// Runs the controllers of entries and agents on a virtual clock, with fake
// links, store and minions. Deterministic: equal options and calls give equal
// runs.
class TestPool {
 public:
  explicit TestPool(const PoolOptions& options);

  void RunUntil(BootTime until) { clock_.RunUntil(until); }
  void RunFor(BootTime time) { clock_.RunUntil(clock_.now() + time); }
  VirtualClock& clock() { return clock_; }
  BootTime now() const { return clock_.now(); }

  // Makes a call of a client and returns its id. The connection breaks at once
  // if the process does not run.
  CallId Submit(int entry, const pool::JobSpec& job,
                milliseconds client_timeout, std::size_t queue = 0);
  // As Submit, over a connection that has been reset before the entry reads the
  // job. The entry notices the end of the connection some turns later.
  CallId SubmitOverResetConnection(int entry, const pool::JobSpec& job,
                                   milliseconds client_timeout);
  CallId Cancel(int entry, std::uint64_t job);
  // The client closes the connection of its call.
  void LeaveCall(CallId call);
  CallState StateOf(CallId call) const;
  const PoolReply* ReplyOf(CallId call) const;

  // Processes are numbered: first the entries, then the agents.
  int AgentProcess(int agent) const { return entry_count() + agent; }
  int process_count() const { return static_cast<int>(processes_.size()); }
  int entry_count() const { return options_.entries; }
  bool IsRunning(int process) const;

  // Simulates SIGKILL: the connections of the process are reset.
  void Kill(int process);
  // Simulates a power failure: the connections are not closed.
  void PowerOff(int process);
  // Starts a new process in place of one that has ended.
  void Restart(int process);
  void Freeze(int process);
  void Thaw(int process);
  // Simulates SIGTERM.
  void Stop(int process);
  // Simulates a network partition in one direction: messages from `from` to
  // `to` are delayed until it ends.
  void CutOneWay(int from, int to, bool is_cut);
  void Cut(int process, int other, bool is_cut);
  // Resets all connections between two processes.
  void ResetLinks(int process, int other);
  // Sets the load of an entry's event loop, which has no other load.
  void SetLoopLoad(int entry, double busy_share);
  void SetStoreDown(bool down) { store_down_ = down; }
  // Cuts one entry off from the store.
  void SetStoreCut(int entry, bool is_cut);
  void SetConfig(const pool::PoolConfig& config);
  // Writes the keys of these evacuations to the store, in place of all others.
  void SetEvacuations(const std::vector<std::string>& data_centres);
  FakeMinion& minion(int agent) { return *minions_[agent]; }

  const pool::EntryBoard& entry(int n) const { return processes_[n].entry; }
  const pool::AgentBoard& agent(int n) const {
    return processes_[AgentProcess(n)].agent;
  }
  const RunLedger& ledger() const { return ledger_; }
  const PoolMessageCounts& message_counts() const { return message_counts_; }
  // How often an entry returned to an older configuration.
  int config_regressions() const { return config_regressions_; }

 private:
  enum class ProcessState {
    kRunning,
    kFrozen,
    // Handles no events, but its messages still leave.
    kExiting,
    kEnded,
    kPoweredOff
  };
  // A process; `entry` or `agent` is in use.
  struct Process {
    pool::EntryBoard entry;
    pool::AgentBoard agent;
    ProcessState state = ProcessState::kEnded;
    std::uint64_t incarnation = 0;
    BootTime last_turn{0};
    std::uint64_t config_version = 0;
    std::vector<pool::EntryEvent> pending_entry_events;
    std::vector<pool::AgentEvent> pending_agent_events;
    std::set<CallId> calls;
    double busy_share = 0;
    // Of the processor model.
    bool is_turn_scheduled = false;
    BootTime busy_until{0};
    BootTime busy_in_tick{0};
    double tick_lateness_ms = 0;
  };
  // A connection. Each side is closed separately.
  struct Link {
    int processes[2] = {0, 0};
    bool open[2] = {true, true};
    // By sending side; keeps the order of deliveries in each direction.
    BootTime last_delivery[2] = {BootTime{0}, BootTime{0}};
    std::vector<std::function<void()>> undelivered[2];
  };

  bool IsAgent(int process) const { return process >= options_.entries; }
  Endpoint AddressOf(int entry) const;
  int EntryAt(const Endpoint& address) const;
  BootTime DelayBetween(int process, int other) const;
  bool IsCut(int from, int to) const { return cuts_.count({from, to}) != 0; }

  void StartProcess(int process);
  void EndProcess(int process, ProcessState state);
  void Tick(int process, std::uint64_t incarnation);
  void Post(int process, pool::EntryEvent event);
  void Post(int process, pool::AgentEvent event);
  // Returns the number of messages and replies that the turn sends.
  std::size_t RunEntry(int process, std::vector<pool::EntryEvent> events);
  // Processor model of the entries.
  void ScheduleTurn(int process);
  void RunTurn(int process, std::uint64_t incarnation);
  pool::LoopLoadMeasured MeasureLoop(int process);
  BootTime ProcessorTime(int entry, std::size_t operations) const;
  void RunAgent(int process, std::vector<pool::AgentEvent> events);
  void ReportMinion(int agent, std::uint64_t incarnation);
  void ListEntries();
  void ReadStore(int process, std::uint64_t incarnation);

  void HandleEffect(int process, const pool::Reply& effect);
  void HandleEffect(int process, const pool::SendMessage& effect);
  void HandleEffect(int process, const pool::DialPeer& effect);
  void HandleEffect(int process, const pool::AbortLink& effect);
  void HandleEffect(int process, const pool::ExitEntry& effect);
  void HandleEffect(int process, const pool::SendToEntry& effect);
  void HandleEffect(int process, const pool::DialEntry& effect);
  void HandleEffect(int process, const pool::AbortEntryLink& effect);
  void HandleEffect(int process, const pool::CallStart& effect);
  void HandleEffect(int process, const pool::CallStop& effect);
  void HandleEffect(int process, const pool::CallPoll& effect);
  void HandleEffect(int process, const pool::ExitAgent& effect);
  void HandleEffect(int, const pool::Decision&) {}

  // Returns a callback that passes the answer of a call to `done`. After the
  // timeout, `done` gets `none` instead.
  template <typename Answer>
  std::function<void(Answer)> WithTimeout(
      int process, milliseconds timeout, Answer none,
      std::function<void(const Answer&)> done);

  void Dial(int from, int to,
            const std::function<void(std::optional<LinkId>)>& done);
  void Send(int from, LinkId link, const pool::Message& message);
  void Deliver(LinkId link, int side, const std::function<void()>& action);
  void CloseSide(LinkId link, int side);
  void ReportClosed(LinkId link, int side);
  void Reset(LinkId link, int side);
  int SideOf(const Link& link, int process) const {
    return link.processes[0] == process ? 0 : 1;
  }
  void BreakCalls(int process);

  PoolOptions options_;
  VirtualClock clock_;
  std::mt19937_64 random_;
  RunLedger ledger_;
  std::vector<Process> processes_;
  std::vector<std::unique_ptr<FakeMinion>> minions_;
  std::map<LinkId, Link> links_;
  std::set<std::pair<int, int>> cuts_;
  std::map<CallId, PoolReply> replies_;
  std::map<CallId, CallState> calls_;
  // Calls whose connections have been reset.
  std::set<CallId> reset_calls_;
  pool::PoolConfig config_;
  bool store_down_ = false;
  std::set<int> store_cuts_;
  // Unset until the first evacuation.
  std::optional<pool::EvacuationView> evacuations_;
  std::uint64_t next_id_ = 1;
  PoolMessageCounts message_counts_;
  int config_regressions_ = 0;
};

// Creates a job of `count` equal tasks, each with a duration of `length`.
pool::JobSpec MakeJob(std::uint64_t id, std::uint32_t count,
                      milliseconds duration, std::int64_t cpu_millis);
// Creates such a job whose first task crashes each minion that starts it.
pool::JobSpec MakeCrashingJob(std::uint64_t id, std::uint32_t count,
                              milliseconds duration, std::int64_t cpu_millis);

}  // namespace dottereltrack::testing
