#include "core/pool/evacuation.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace dottereltrack::pool {
namespace {

constexpr const char* kName = "north";
constexpr Now kNow{seconds{100}, {}, 0};

Evacuation Row(std::uint64_t revision, bool is_active) {
  return {kName, revision, is_active};
}

// The registers of a process that has read these views of the store.
EvacuationRegisters Read(const std::vector<EvacuationView>& views) {
  EvacuationRegisters registers;
  for (const EvacuationView& view : views) {
    registers = MergeEvacuationView(registers, view, kNow).registers;
  }
  return registers;
}

TEST_CASE("Of two states of a data centre the one of the higher revision holds",
          "[pool][evacuation]") {
  // Guards against a withdrawn evacuation that old news bring back, and against
  // old news that end an evacuation.
  struct Case {
    const char* name;
    // What the process has read itself, and what another one sends.
    std::vector<EvacuationView> read;
    std::vector<Evacuation> received;
    bool is_evacuated;
    bool is_sender_outdated;
  };
  const EvacuationView active_at_10{{Row(10, true)}, 10, {}};
  const EvacuationView absent_at_20{{}, 20, {}};
  const auto row = GENERATE_COPY(values<Case>(
      {{"nothing known", {}, {Row(10, true)}, true, false},
       {"newer end", {active_at_10}, {Row(11, false)}, false, false},
       {"older end", {active_at_10}, {Row(9, false)}, true, true},
       {"withdrawn here",
        {active_at_10, absent_at_20},
        {Row(10, true)},
        false,
        true},
       // A restarted process has read a list without the key.
       {"never seen here", {absent_at_20}, {Row(10, true)}, false, true},
       {"newer than the list", {absent_at_20}, {Row(21, true)}, true, false},
       {"evacuated again",
        {active_at_10, absent_at_20},
        {Row(30, true)},
        true,
        false},
       {"same revision", {active_at_10}, {Row(10, false)}, true, true},
       // The settings lack the data centre, so the list says nothing of it.
       {"not covered", {{{}, 20, {"south"}}}, {Row(10, true)}, true, false}}));
  CAPTURE(row.name);
  const auto update = MergeEvacuations(Read(row.read), row.received, kNow);
  CHECK(IsEvacuated(update.registers, kName) == row.is_evacuated);
  CHECK(update.is_sender_outdated == row.is_sender_outdated);
  // The answer that corrects the sender must convince it.
  if (!row.is_sender_outdated) return;
  EvacuationRegisters sender;
  sender = MergeEvacuations(sender, row.received, kNow).registers;
  sender = MergeEvacuations(sender, ListEvacuations(update.registers), kNow)
               .registers;
  CHECK(IsEvacuated(sender, kName) == row.is_evacuated);
}

TEST_CASE("A list of the store ends what it lacks", "[pool][evacuation]") {
  // Guards against an evacuation that stays after its removal was missed, and
  // against an answer that another process has read wrongly.
  struct Case {
    const char* name;
    std::vector<Evacuation> received;
    EvacuationView view;
    bool is_evacuated;
  };
  const auto row = GENERATE(values<Case>(
      {{"removed", {Row(10, true)}, {{}, 20, {}}, false},
       {"list older than the key", {Row(30, true)}, {{}, 20, {}}, true},
       {"not covered", {Row(10, true)}, {{}, 20, {"south"}}, true},
       {"key newer than the end",
        {Row(15, false)},
        {{Row(18, true)}, 20, {}},
        true},
       {"key there although one has read it as absent",
        {Row(15, false)},
        {{Row(10, true)}, 20, {}},
        true},
       {"end newer than the list",
        {Row(25, false)},
        {{Row(10, true)}, 20, {}},
        false}}));
  CAPTURE(row.name);
  const auto before = MergeEvacuations({}, row.received, kNow).registers;
  const auto update = MergeEvacuationView(before, row.view, kNow);
  CHECK(IsEvacuated(update.registers, kName) == row.is_evacuated);
}

TEST_CASE("The order in which news arrive does not matter",
          "[pool][evacuation]") {
  // Guards against processes that disagree for ever.
  std::vector<Evacuation> news{Row(3, true),
                               Row(5, false),
                               Row(5, true),
                               Row(8, false),
                               {"south", 4, true}};
  std::vector<int> order{0, 1, 2, 3, 4};
  do {
    EvacuationRegisters registers;
    for (const int n : order) {
      registers = MergeEvacuations(registers, {news[n]}, kNow).registers;
    }
    CAPTURE(order);
    CHECK(ListEvacuations(registers) ==
          std::vector<Evacuation>{Row(8, false), {"south", 4, true}});
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("A list tells whether its sender knows all", "[pool][evacuation]") {
  // Guards against a process that is not told, and against lists that are sent
  // back to where they are from.
  struct Case {
    const char* name;
    std::vector<Evacuation> received;
    bool is_complete;
  };
  const auto row = GENERATE(
      values<Case>({{"same", {Row(10, true), {"south", 5, false}}, true},
                    {"newer", {Row(12, true), {"south", 5, false}}, true},
                    {"older key", {Row(9, true), {"south", 5, false}}, false},
                    {"older end", {Row(10, true), {"south", 4, false}}, true},
                    {"one is missing", {Row(10, true)}, false},
                    {"nothing", {}, false}}));
  CAPTURE(row.name);
  const auto known =
      MergeEvacuations({}, {Row(10, true), {"south", 5, false}}, kNow);
  const auto update = MergeEvacuations(known.registers, row.received, kNow);
  CHECK(update.is_sender_complete == row.is_complete);
}

TEST_CASE("After an evacuation the capacity returns step by step",
          "[pool][evacuation]") {
  // Guards against a burst of starts on cold minions, and against capacity that
  // never returns or exceeds the minion's.
  struct Case {
    milliseconds since_end;
    milliseconds cold_remaining;
    double share;
  };
  using std::chrono::hours;
  const auto row =
      GENERATE(values<Case>({{milliseconds{0}, milliseconds{0}, 0.25},
                             {milliseconds{1'000}, milliseconds{0}, 0.5},
                             {milliseconds{2'999}, milliseconds{0}, 0.99975},
                             {milliseconds{3'000}, milliseconds{0}, 1},
                             {milliseconds{3'000}, milliseconds{3'000}, 0.625},
                             {milliseconds{0}, milliseconds{-5}, 0.25},
                             {milliseconds{10'000}, hours{1}, 1},
                             {hours{24}, milliseconds{0}, 1}}));
  CAPTURE(row.since_end, row.cold_remaining);
  EvacuationRegisters registers =
      Read({{{Row(10, true)}, 10, {}}, {{}, 20, {}}});
  const Now later{kNow.boot + row.since_end, {}, 0};
  const double share = UsableShare(registers, kName, row.cold_remaining, later);
  CHECK(share == Approx(row.share));
  CHECK(share <= 1);
  // A repeated end does not start the return anew.
  registers = MergeEvacuations(registers, {Row(25, false)}, later).registers;
  CHECK(UsableShare(registers, kName, row.cold_remaining, later) == share);
  // A process that has not known the evacuation has sent nothing away.
  CHECK(UsableShare(Read({{{}, 20, {}}}), kName, {}, later) == 1);
  registers = MergeEvacuations(registers, {Row(30, true)}, later).registers;
  CHECK(UsableShare(registers, kName, row.cold_remaining, later) == 0);
}

}  // namespace
}  // namespace dottereltrack::pool
