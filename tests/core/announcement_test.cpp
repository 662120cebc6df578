#include <catch2/catch.hpp>

#include "core/agent/advance.h"

namespace dottereltrack {

// Guards against a repeated announcement that makes a draining minion receive
// new tasks again.
TEST_CASE("a repeated announcement does not end draining", "[draining]") {
  struct Row {
    const char* scenario;
    AgentEvent before;
    std::uint64_t announced_instance;
    bool draining;
  };
  const auto row =
      GENERATE(values<Row>({{"nothing before", AgentTick{}, 1, false},
                            {"the minion leaves", MinionLeaving{}, 1, true},
                            {"the agent stops", AgentStopRequested{}, 1, true},
                            {"the minion leaves and a new instance replaces it",
                             MinionLeaving{}, 2, false},
                            {"the agent stops and a new instance is announced",
                             AgentStopRequested{}, 2, true}}));
  CAPTURE(row.scenario);
  MinionDescription minion;
  minion.name = "booking-1";
  minion.instance = 1;
  minion.slots = 8;
  AgentBoard board;
  const Now now{seconds{1}, WallTime{0}, 0};
  Advance(&board, {}, {MinionAnnounced{minion}, row.before}, now);
  minion.instance = row.announced_instance;
  Advance(&board, {}, {MinionAnnounced{minion}}, now);
  REQUIRE(board.minion.has_value());
  CHECK(board.minion->instance == row.announced_instance);
  CHECK(board.minion->draining == row.draining);
}

}  // namespace dottereltrack
