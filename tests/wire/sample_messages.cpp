#include "wire/sample_messages.h"

#include <limits>

namespace dottereltrack::testing {
namespace {

const Fence kFence{7, 21};
const AgentAck kAck{kFence, 99};
const std::string kBinary("\0\xff\n\"", 4);

TaskId Task(std::uint8_t n) { return {SampleSubmission(n), n}; }

StoredTable SmallTable() {
  return {5,
          {3,
           EntryId{11},
           {{EntryId{11}, {"127.0.0.1", 4100}, "kgn-a"}},
           {{AgentId{21}, "booking-1", "kgn-b", "rack-1"}},
           {{AgentId{22}, "rack-2", -4}},
           123'456,
           77}};
}

MinionDescription Minion() {
  return {"booking-1", 8,       {{"model", "b"}, {"empty", ""}},
          8,           64,      1ULL << 40,
          2,           "kgn-a", "rack-1",
          true};
}

std::vector<LedgerEntry> Ledger() {
  return {{Task(1), 3, 17, LedgerState::kRunning, {}, false},
          {Task(2), 3, 17, LedgerState::kDone, kBinary, true},
          {Task(3), 3, 17, LedgerState::kFailed, std::string("no"), false},
          {Task(4), 3, 17, LedgerState::kUnknown, {}, false}};
}

std::vector<WitnessEntry> Witnesses() {
  return {{SampleSubmission(1), 8, true}, {SampleSubmission(2), 9, false}};
}

std::vector<LedgerEntry> LargeLedger() {
  std::vector<LedgerEntry> entries(1'000);
  for (std::size_t n = 0; n < entries.size(); ++n) {
    entries[n] = Ledger()[n % 4];
    entries[n].output = std::string(n * 8, 'x');
  }
  return entries;
}

TaskStart Start(std::string payload) {
  return {Task(5),
          9,
          31,
          8,
          "resize",
          std::move(payload),
          {1ULL << 33, 4},
          milliseconds{1'500}};
}

std::vector<TaskRefused> Refusals() {
  std::vector<TaskRefused> refused;
  for (int n = 0; n <= static_cast<int>(StartRefusal::kTooLarge); ++n) {
    refused.push_back({Task(6), kFence, static_cast<StartRefusal>(n)});
  }
  return refused;
}

SubmitRequest Request(std::size_t count) {
  SubmitRequest request;
  request.team = "north";
  request.key = kBinary;
  request.kind = "resize";
  request.selector.allowed = {{"model", {"a", "b", ""}}, {"none", {}}};
  request.deadline = milliseconds{12'345};
  request.tasks.assign(count, {std::string(), milliseconds{70}, {9, 1}});
  request.body_digest = std::numeric_limits<std::uint64_t>::max();
  return request;
}

std::vector<TaskOutcome> Outcomes() {
  using Ground = ProofNotStarted::Ground;
  return {Done{kBinary},
          Done{},
          Failed{"broken"},
          NotRun{"a", ProofFromPeer(Ground::kNeverSent)},
          NotRun{"b", ProofFromPeer(Ground::kRefusedByAgent)},
          NotRun{"c", ProofFromPeer(Ground::kAbsentFromInventory)},
          Unknown{"lost"}};
}

}  // namespace

SubmissionId SampleSubmission(std::uint8_t n) {
  SubmissionId id;
  for (std::uint8_t& byte : id.bytes) byte = n++;
  return id;
}

StoredTable LargeTable() {
  StoredTable stored = SmallTable();
  for (std::uint64_t n = 0; n < 600; ++n) {
    const std::string rack = "rack-" + std::to_string(n / 3);
    stored.table.roster.push_back(
        {AgentId{n}, "minion-" + std::to_string(n), "kgn-a", rack});
    stored.table.lost.push_back({AgentId{n + 600}, rack, 1'700'000'000'000});
  }
  return stored;
}

StoredConfig SampleConfig() {
  return {9,
          {4,
           {{"north", {16, 2}}, {"south", {0, 1}}},
           {{"booking-1", {{"model", "c"}, {"zone", ""}}}, {"booking-2", {}}},
           {"booking-3", ""},
           55}};
}

std::vector<Sample<EntryToAgent>> EntryToAgentSamples() {
  return {
      {"hello", EntryHello{EntryId{11}, SmallTable(), SampleConfig()}},
      {"hello, empty", EntryHello{}},
      {"hello, large", EntryHello{EntryId{11}, LargeTable(), SampleConfig()}},
      {"fence", FenceRequest{kFence, 4}},
      {"starts", Starts{kFence, 5, {Start(kBinary), Start({}), TaskStart{}}}},
      {"starts, large", Starts{kFence, 5, {Start(std::string(7 << 20, 'p'))}}},
      {"starts, empty", Starts{}},
      {"heartbeat", Heartbeat{kFence, 6}},
      {"cancel", CancelTasks{kFence, 7, {Task(1), Task(2)}}},
      {"witness", WitnessRequest{kFence, 8, Witnesses()}},
      {"copy", LedgerCopy{kFence, 9, AgentId{3}, Ledger(), Witnesses()}},
      {"configuration", ConfigUpdate{SampleConfig()}},
      {"table", TableUpdate{SmallTable()}}};
}

std::vector<Sample<AgentToEntry>> AgentToEntrySamples() {
  return {
      {"hello", AgentHello{AgentId{21}, 3, Minion(), SampleConfig()}},
      {"hello, empty", AgentHello{}},
      {"inventory", Inventory{kAck, Ledger(), Witnesses(), true}},
      {"inventory, empty", Inventory{}},
      {"inventory, large", Inventory{kAck, LargeLedger(), Witnesses(), false}},
      {"results",
       Results{
           kAck,
           {{Task(1), LedgerState::kDone, kBinary, microseconds{51'234}}, {}},
           Refusals()}},
      {"acknowledgement", HeartbeatAck{kAck}},
      {"witness", WitnessAck{kAck, {SampleSubmission(1), SampleSubmission(2)}}},
      {"copy", LedgerCopyAck{kAck, AgentId{3}}},
      {"minion", MinionUpdate{kAck, Minion(), true}}};
}

std::vector<Sample<EntryToEntry>> EntryToEntrySamples() {
  std::vector<Sample<EntryToEntry>> samples{
      {"hello", PeerHello{EntryId{12}, LargeTable(), SampleConfig()}},
      {"heartbeat", PeerHeartbeat{44}},
      {"submit", ForwardSubmit{1, Request(3)}},
      {"submit, empty", ForwardSubmit{}},
      {"submit, many empty payloads", ForwardSubmit{1, Request(100'000)}},
      {"fetch", ForwardFetch{2, SampleSubmission(2)}},
      {"cancel", ForwardCancel{3, SampleSubmission(3)}},
      {"answer",
       ForwardReply{4, Answer{SampleSubmission(4), true, "why", Outcomes()}}},
      {"answer, many empty results",
       ForwardReply{4, Answer{SampleSubmission(4), false, "",
                              std::vector<TaskOutcome>(100'000)}}},
      {"open", ForwardReply{5, StillOpen{SampleSubmission(5)}}},
      {"refusal without proof",
       ForwardReply{6, Refusal{RefusalKind::kUndecided, "wait", {}, {}}}},
      {"table", TableUpdate{SmallTable()}},
      {"configuration", ConfigUpdate{SampleConfig()}}};
  for (int n = 0; n <= static_cast<int>(RefusalKind::kUndecided); ++n) {
    const Refusal refusal{static_cast<RefusalKind>(n), "later",
                          ProveNeverAccepted(), milliseconds{250}};
    samples.push_back({std::string("refusal ") + ToString(refusal.kind),
                       ForwardReply{7, refusal}});
  }
  return samples;
}

}  // namespace dottereltrack::testing
