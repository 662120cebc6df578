#include "core/pool/evacuation.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dottereltrack::pool {
namespace {

// Share of a minion's capacity that is usable when an evacuation ends, and the
// time until all of it is. A quarter of the smallest minion, 4 of 16 cores,
// holds any single task of the users' queues. Three seconds let the entries,
// which learn of the end within a second of each other, see the first tasks'
// durations before they send more.
constexpr double kFirstUsableShare = 0.25;
constexpr milliseconds kMinReturnTime{3'000};
// Limits what a minion can claim, so that the capacity always returns.
constexpr milliseconds kMaxReturnTime{10'000};

// If a revision carries both states, the evacuation holds: a needless one costs
// capacity, a missed one breaks the operator's request.
bool IsNewer(const Evacuation& a, const Evacuation& b) {
  return std::tuple(a.revision, a.is_active) >
         std::tuple(b.revision, b.is_active);
}

bool Covers(const std::vector<std::string>& data_centres,
            const std::string& data_centre) {
  return data_centres.empty() ||
         std::find(data_centres.begin(), data_centres.end(), data_centre) !=
             data_centres.end();
}

const Evacuation* FindIn(const std::vector<Evacuation>& evacuations,
                         const std::string& data_centre) {
  const auto it = std::find_if(
      evacuations.begin(), evacuations.end(),
      [&](const Evacuation& row) { return row.data_centre == data_centre; });
  return it == evacuations.end() ? nullptr : &*it;
}

// Returns the register of a data centre, also if it has no row.
Evacuation CurrentState(const EvacuationRegisters& registers,
                        const std::string& data_centre) {
  const EvacuationRow* row = registers.rows.Find(data_centre);
  if (row != nullptr) return row->state;
  const bool is_covered = Covers(registers.data_centres, data_centre);
  return {data_centre, is_covered ? registers.read_at : 0, false};
}

void PutState(const Evacuation& state, const Now& now,
              EvacuationUpdate* update) {
  EvacuationRegisters& registers = update->registers;
  const EvacuationRow* known = registers.rows.Find(state.data_centre);
  const bool was_active = known != nullptr && known->state.is_active;
  EvacuationRow row{state, {}};
  if (known != nullptr && !state.is_active) row.ended_at = known->ended_at;
  if (was_active && !state.is_active) row.ended_at = now.boot;
  // A key that was written again is passed on, since a process that missed it
  // would take the end before it as newer. A higher revision of an end is not:
  // each entry reads its own, and old news only delay starts until corrected.
  if (known == nullptr || was_active || state.is_active) ++registers.changes;
  if (was_active != state.is_active) update->switched.push_back(state);
  registers.rows.Put(std::move(row));
}

// Whether the rows have the states of `registers`, and active ones are as new.
bool HasSameStates(const EvacuationRegisters& registers,
                   const std::vector<Evacuation>& received) {
  return std::all_of(
      registers.rows.begin(), registers.rows.end(), [&](const auto& it) {
        const Evacuation* row = FindIn(received, it.first);
        const Evacuation& own = it.second.state;
        return row != nullptr && row->is_active == own.is_active &&
               (!own.is_active || row->revision >= own.revision);
      });
}

}  // namespace

EvacuationUpdate MergeEvacuations(const EvacuationRegisters& known,
                                  const std::vector<Evacuation>& received,
                                  const Now& now) {
  EvacuationUpdate update{known, {}, false, false};
  for (const Evacuation& row : received) {
    const Evacuation current = CurrentState(update.registers, row.data_centre);
    if (IsNewer(row, current)) {
      PutState(row, now, &update);
    } else if (row.is_active != current.is_active) {
      update.is_sender_outdated = true;
      // The answer must name the data centre.
      if (!update.registers.rows.Contains(row.data_centre)) {
        PutState(current, now, &update);
      }
    }
  }
  update.is_sender_complete =
      !update.is_sender_outdated && HasSameStates(update.registers, received);
  return update;
}

EvacuationUpdate MergeEvacuationView(const EvacuationRegisters& known,
                                     const EvacuationView& view,
                                     const Now& now) {
  EvacuationUpdate update{known, {}, false, false};
  if (view.as_of < known.read_at) return update;
  for (const Evacuation& row : view.active) {
    const Evacuation current = CurrentState(known, row.data_centre);
    if (IsNewer(row, current)) {
      PutState(row, now, &update);
    } else if (!current.is_active && view.as_of > current.revision) {
      // Another process has read the key as absent before.
      PutState({row.data_centre, view.as_of, true}, now, &update);
    }
  }
  for (const auto& [data_centre, row] : known.rows) {
    if (FindIn(view.active, data_centre) != nullptr ||
        !Covers(view.data_centres, data_centre) ||
        row.state.revision >= view.as_of) {
      continue;
    }
    PutState({data_centre, view.as_of, false}, now, &update);
  }
  update.registers.read_at = view.as_of;
  update.registers.data_centres = view.data_centres;
  return update;
}

std::vector<Evacuation> ListEvacuations(const EvacuationRegisters& registers) {
  std::vector<Evacuation> list;
  for (const auto& [data_centre, row] : registers.rows) {
    list.push_back(row.state);
  }
  return list;
}

bool IsEvacuated(const EvacuationRegisters& registers,
                 const std::string& data_centre) {
  const EvacuationRow* row = registers.rows.Find(data_centre);
  return row != nullptr && row->state.is_active;
}

std::size_t CountEvacuated(const EvacuationRegisters& registers) {
  return std::count_if(
      registers.rows.begin(), registers.rows.end(),
      [](const auto& it) { return it.second.state.is_active; });
}

double UsableShare(const EvacuationRegisters& registers,
                   const std::string& data_centre, milliseconds cold_remaining,
                   const Now& now) {
  const EvacuationRow* row = registers.rows.Find(data_centre);
  if (row == nullptr) return 1;
  if (row->state.is_active) return 0;
  if (!row->ended_at) return 1;
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const Milliseconds elapsed = now.boot - *row->ended_at;
  const Milliseconds total = std::clamp<Milliseconds>(
      elapsed + cold_remaining, kMinReturnTime, kMaxReturnTime);
  if (elapsed >= total) return 1;
  return kFirstUsableShare + (1 - kFirstUsableShare) * (elapsed / total);
}

Resources ShareOf(const Resources& resources, double share) {
  const auto part = [share](std::int64_t amount) {
    return static_cast<std::int64_t>(static_cast<double>(amount) * share);
  };
  return {part(resources.cpu_millis), part(resources.memory_mb),
          part(resources.accelerators)};
}

}  // namespace dottereltrack::pool
