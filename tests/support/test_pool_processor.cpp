// Processor model of the entries of a TestPool.

#include <algorithm>
#include <utility>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

using namespace pool;  // NOLINT(google-build-using-namespace)

// Processor time of a received event and of a sent message: a wake-up or a
// system call, and the work on it. With this cost an entry of 0.12 core is used
// up by about 110 jobs a second, as on deployment K of
// docs/design/heavy-load.md.
constexpr BootTime kOperationTime{40};
// Same as in the daemons.
constexpr milliseconds kTickInterval{25};
// Weight of a tick in averages over about a second.
constexpr double kTickWeight = 0.025;

}  // namespace

BootTime TestPool::ProcessorTime(int entry, std::size_t operations) const {
  const auto& cores = options_.entry_cores;
  const double share = cores[std::min<std::size_t>(entry, cores.size() - 1)];
  const double time_us = static_cast<double>(operations) *
                         static_cast<double>(kOperationTime.count()) / share;
  return BootTime{static_cast<std::int64_t>(time_us)};
}

// Schedules a turn that takes all events that arrive until it begins.
void TestPool::ScheduleTurn(int process) {
  Process& it = processes_[process];
  if (std::exchange(it.is_turn_scheduled, true)) return;
  clock_.ScheduleAt(std::max(clock_.now(), it.busy_until),
                    [this, process, incarnation = it.incarnation] {
                      RunTurn(process, incarnation);
                    });
}

// The events are read first; their effects happen when that is done, and the
// messages are sent after that.
void TestPool::RunTurn(int process, std::uint64_t incarnation) {
  Process& it = processes_[process];
  if (it.incarnation != incarnation) return;
  auto events = std::exchange(it.pending_entry_events, {});
  const BootTime reading = ProcessorTime(process, events.size());
  it.busy_in_tick += reading;
  clock_.ScheduleAfter(reading, [this, process, incarnation,
                                 events = std::move(events)] {
    Process& turn = processes_[process];
    if (turn.incarnation != incarnation) return;
    turn.is_turn_scheduled = false;
    const BootTime sending = ProcessorTime(process, RunEntry(process, events));
    turn.busy_in_tick += sending;
    turn.busy_until = clock_.now() + sending;
    if (!turn.pending_entry_events.empty()) ScheduleTurn(process);
  });
}

LoopLoadMeasured TestPool::MeasureLoop(int process) {
  Process& it = processes_[process];
  if (options_.entry_cores.empty()) return {it.busy_share, milliseconds{0}};
  using Milliseconds = std::chrono::duration<double, std::milli>;
  // A turn that takes longer than a tick also fills the following ones.
  const BootTime busy = std::min<BootTime>(it.busy_in_tick, kTickInterval);
  it.busy_in_tick -= busy;
  it.busy_share +=
      kTickWeight * (Milliseconds{busy} / kTickInterval - it.busy_share);
  const double lateness =
      std::max(0.0, Milliseconds{it.busy_until - clock_.now()}.count());
  it.tick_lateness_ms += 2 * kTickWeight * (lateness - it.tick_lateness_ms);
  return {it.busy_share,
          milliseconds{static_cast<std::int64_t>(it.tick_lateness_ms)}};
}

}  // namespace dottereltrack::testing
