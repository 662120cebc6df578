#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {
namespace {

bool IsAdoptedByAllNodes(const TestCell& cell) {
  const auto& stored = cell.stored_config();
  for (int n = 0; n < cell.entry_count(); ++n) {
    const bool runs = cell.IsEntryAlive(n) && !cell.IsEntryFrozen(n);
    if (runs && !(cell.entry(n).stored_config == stored)) return false;
  }
  for (int n = 0; n < cell.agent_count(); ++n) {
    const bool runs = cell.IsAgentAlive(n) && !cell.IsAgentFrozen(n);
    if (runs && !(cell.agent(n).config == stored)) return false;
  }
  return true;
}

bool Succeeded(const TestCell& cell, CallId call) {
  const ReplyToOperator* reply = cell.OperatorReplyOf(call);
  return reply != nullptr && std::holds_alternative<StoredConfig>(reply->reply);
}

}  // namespace

// Guards against two concurrent changes that are both reported as applied.
TEST_CASE("of two concurrent changes one is applied and the other is refused",
          "[config]") {
  const auto mode =
      GENERATE(values<StoreMode>({StoreMode::kUp, StoreMode::kLosesReplies,
                                  StoreMode::kWritesLate, StoreMode::kSlow}));
  const auto second_entry = GENERATE(0, 1);
  CAPTURE(static_cast<int>(mode), second_entry);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  cell.SetStoreMode(mode);
  CellConfig north;
  north.drained_minions = {"minion-0"};
  CellConfig south;
  south.drained_minions = {"minion-1"};
  const CallId first = cell.SetConfig(0, 0, north);
  const CallId second = cell.SetConfig(second_entry, 0, south);
  cell.RunFor(seconds{8});
  REQUIRE(cell.OperatorReplyOf(first) != nullptr);
  REQUIRE(cell.OperatorReplyOf(second) != nullptr);
  CHECK(cell.stored_config().config.version == 1);
  CHECK(Succeeded(cell, first) != Succeeded(cell, second));
  const CallId loser = Succeeded(cell, first) ? second : first;
  const auto* refusal =
      std::get_if<Refusal>(&cell.OperatorReplyOf(loser)->reply);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->kind == RefusalKind::kVersionConflict);
  CHECK(IsAdoptedByAllNodes(cell));
}

// Guards against a node that keeps using an old configuration or reverts to
// one.
TEST_CASE("all running nodes adopt a configuration within 2 s", "[config]") {
  const auto disturbance = GENERATE(values<std::string>(
      {"none", "frozen entry", "frozen agent", "cut links", "store lost",
       "restarted entry", "restarted agent", "takeover"}));
  CAPTURE(disturbance);
  CellOptions options;
  options.entries = 3;
  options.agents = 4;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const int writer = (dispatcher + 1) % 3;
  const int third = (dispatcher + 2) % 3;
  if (disturbance == "frozen entry") cell.FreezeEntry(third, true);
  if (disturbance == "frozen agent") cell.FreezeAgent(0, true);
  if (disturbance == "cut links") {
    for (int n = 0; n < 4; ++n) cell.CutLinks(dispatcher, n);
    cell.CutLinksBetween(dispatcher, writer);
  }
  if (disturbance == "takeover") cell.KillEntry(dispatcher);
  CellConfig config;
  config.drained_minions = {"minion-0"};
  const CallId call = cell.SetConfig(writer, 0, config);
  cell.RunFor(milliseconds{10});
  if (disturbance == "store lost") cell.SetStoreMode(StoreMode::kDown);
  if (disturbance == "restarted entry") {
    cell.SetStoreMode(StoreMode::kDown);
    cell.KillEntry(third);
    cell.RestartEntry(third);
  }
  if (disturbance == "restarted agent") {
    cell.KillAgent(0);
    cell.RestartAgent(0);
  }
  cell.RunFor(seconds{2});
  REQUIRE(Succeeded(cell, call));
  CHECK(IsAdoptedByAllNodes(cell));
  cell.RunFor(seconds{6});
  cell.FreezeEntry(third, false);
  cell.FreezeAgent(0, false);
  cell.RunFor(seconds{2});
  CHECK(IsAdoptedByAllNodes(cell));
  CHECK(cell.config_regressions() == 0);
}

// Guards against a change that is reported as not applied but takes effect, or
// as applied but does not.
TEST_CASE("a change that the store did not confirm is reported correctly",
          "[config]") {
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  cell.SetStoreMode(StoreMode::kDown);
  const CallId call = cell.SetConfig(0, 0, CellConfig{});
  cell.RunFor(seconds{8});
  cell.SetStoreMode(StoreMode::kUp);
  cell.RunFor(seconds{2});
  REQUIRE(cell.OperatorReplyOf(call) != nullptr);
  const auto* refusal =
      std::get_if<Refusal>(&cell.OperatorReplyOf(call)->reply);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->not_run.has_value());
  CHECK(cell.stored_config().config.version == 0);
}

}  // namespace dottereltrack::testing
