#include <catch2/catch.hpp>

#include "core/agent/advance.h"
#include "core/entry/advance.h"
#include "support/expect.h"

namespace dottereltrack::testing {
namespace {

constexpr LinkId kLink{1};
constexpr LinkId kOtherLink{2};

int CountStarts(const std::vector<AgentEffect>& effects) {
  int n = 0;
  for (const AgentEffect& it : effects) {
    n += std::holds_alternative<StartOnMinion>(it) ? 1 : 0;
  }
  return n;
}

// An agent with a minion of two slots, fenced under generation 2.
AgentBoard MakeFencedAgent(const Now& now) {
  AgentBoard board;
  board.settings.id = AgentId{7};
  MinionDescription minion;
  minion.name = "minion";
  minion.instance = 5;
  minion.slots = 2;
  minion.connections = 2;
  Advance(&board, {}, {MinionAnnounced{minion}}, now);
  Advance(
      &board, {},
      {EntryDialed{{"entry", 1}, kLink}, EntryDialed{{"entry", 2}, kOtherLink},
       EntryMessageReceived{kLink, FenceRequest{{2, 1}, 1}}},
      now);
  return board;
}

EntryMessageReceived MakeStartMessage(LinkId link, Fence fence,
                                      std::uint64_t instance) {
  Starts starts;
  starts.fence = fence;
  starts.seq = 2;
  TaskStart start;
  start.id = {MakeSubmissionId("north", "key"), 0};
  start.minion_instance = instance;
  starts.tasks.push_back(start);
  return {link, starts};
}

}  // namespace

// Guards against a second start by a repeated message, and against starts that
// are meant for an earlier minion instance or come from a replaced dispatcher.
TEST_CASE("an agent starts a task only once and only under its newest fence",
          "[agent]") {
  struct Row {
    std::string scenario;
    std::vector<EntryMessageReceived> messages;
    int starts;
  };
  const Fence current_fence{2, 1};
  const auto row = GENERATE_COPY(values<Row>(
      {{"one start", {MakeStartMessage(kLink, current_fence, 5)}, 1},
       {"the same start twice",
        {MakeStartMessage(kLink, current_fence, 5),
         MakeStartMessage(kLink, current_fence, 5)},
        1},
       {"an older generation", {MakeStartMessage(kOtherLink, {1, 9}, 5)}, 0},
       {"an older session", {MakeStartMessage(kLink, {2, 0}, 5)}, 0},
       {"an earlier instance", {MakeStartMessage(kLink, current_fence, 4)}, 0},
       {"after a fence of an older generation",
        {{kOtherLink, FenceRequest{{1, 9}, 1}},
         MakeStartMessage(kOtherLink, {1, 9}, 5)},
        0},
       {"after a newer fence",
        {{kOtherLink, FenceRequest{{3, 1}, 1}},
         MakeStartMessage(kLink, current_fence, 5)},
        0},
       {"again under a newer fence",
        {MakeStartMessage(kLink, current_fence, 5),
         {kOtherLink, FenceRequest{{3, 1}, 1}},
         MakeStartMessage(kOtherLink, {3, 1}, 5)},
        1}}));
  CAPTURE(row.scenario);
  const Now now{seconds{10}, WallTime{0}, 1};
  AgentBoard board = MakeFencedAgent(now);
  int starts = 0;
  for (const EntryMessageReceived& message : row.messages) {
    starts += CountStarts(Advance(&board, {}, {message}, now));
  }
  CHECK(starts == row.starts);
}

// Guards against accepting the reply of a replaced dispatcher or the reply to
// another request, which could reach another team (P3).
TEST_CASE("a reply is accepted only from the link that got the request",
          "[forwarding]") {
  struct Row {
    std::string scenario;
    LinkId link;
    std::uint64_t id_offset;
    bool accepted;
  };
  const auto row = GENERATE(values<Row>({{"the reply", kLink, 0, true},
                                         {"another link", kOtherLink, 0, false},
                                         {"another id", kLink, 1, false}}));
  CAPTURE(row.scenario);
  const Now now{seconds{10}, WallTime{0}, 1};
  EntryBoard board;
  board.settings.id = EntryId{1};
  StoredTable table;
  table.revision = 1;
  table.table.generation = 1;
  table.table.dispatcher = EntryId{2};
  table.table.members = {{EntryId{1}, {"a", 1}, ""},
                         {EntryId{2}, {"b", 1}, ""}};
  const auto hello = [&](LinkId link, EntryId entry) {
    return PeerMessageReceived{link, PeerHello{entry, table, {}}};
  };
  Advance(&board,
          {hello(kLink, EntryId{2}), hello(kOtherLink, EntryId{3}),
           CallerFetches{CallId{1}, MakeSubmissionId("north", "key")}},
          now);
  REQUIRE(board.open_calls.Find(CallId{1})->forwarded_to == kLink);
  const std::uint64_t id = board.open_calls.Find(CallId{1})->request_id;
  const auto reply = [&] {
    ForwardReply it{id + row.id_offset, StillOpen{}};
    return Advance(&board, {PeerMessageReceived{row.link, it}}, now);
  };
  const auto effects = reply();
  CHECK((effects.size() == 1) == row.accepted);
  CHECK(board.open_calls.Contains(CallId{1}) != row.accepted);
  const auto dropped =
      static_cast<std::size_t>(Counter::kForeignRepliesDropped);
  CHECK(board.counters[dropped] == (row.accepted ? 0U : 1U));
  // A repeated or late reply finds no open request.
  reply();
  CHECK(board.counters[dropped] == (row.accepted ? 1U : 2U));
}

}  // namespace dottereltrack::testing
