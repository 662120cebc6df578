#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/pool/task.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Whether a data centre is evacuated, as of a revision of the store.
struct Evacuation {
  std::string data_centre;
  std::uint64_t revision = 0;
  bool is_active = false;
  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

// What a process knows of the evacuation of one data centre.
struct EvacuationRow {
  Evacuation state;
  // When this process learned of the end; unset unless it knew of the
  // evacuation before.
  std::optional<BootTime> ended_at;

  const std::string& Key() const { return state.data_centre; }
  friend bool operator==(const EvacuationRow&, const EvacuationRow&) = default;
};

// The evacuations that the store holds at one revision.
struct EvacuationView {
  // Each with the revision of its key.
  std::vector<Evacuation> active;
  std::uint64_t as_of = 0;
  // Data centres that the view covers; empty if it covers all. An evacuation
  // of another one is unknown, not absent.
  std::vector<std::string> data_centres;
  friend bool operator==(const EvacuationView&,
                         const EvacuationView&) = default;
};

// The evacuations that a process knows, also those that have ended. Each data
// centre is a register whose highest revision wins, so the order in which
// processes hear of changes does not matter.
struct EvacuationRegisters {
  Table<EvacuationRow> rows;
  // Data centres without a row, of those listed, are not evacuated as of this
  // revision. 0 if the process has not read the store.
  std::uint64_t read_at = 0;
  std::vector<std::string> data_centres;
  // Number of changes that other processes have to be told of.
  std::uint64_t changes = 0;
  friend bool operator==(const EvacuationRegisters&,
                         const EvacuationRegisters&) = default;
};

struct EvacuationUpdate {
  EvacuationRegisters registers;
  // Evacuations that have started or ended by the update.
  std::vector<Evacuation> switched;
  // A row of the sender is outdated and differs in `is_active`.
  bool is_sender_outdated = false;
  // The sender knows all that `registers` holds.
  bool is_sender_complete = false;
};

// Merges rows that another process has sent.
EvacuationUpdate MergeEvacuations(const EvacuationRegisters& known,
                                  const std::vector<Evacuation>& received,
                                  const Now& now);
// Merges a complete list of the store: an evacuation that it lacks has ended.
EvacuationUpdate MergeEvacuationView(const EvacuationRegisters& known,
                                     const EvacuationView& view,
                                     const Now& now);

// Returns all rows, to be sent to another process.
std::vector<Evacuation> ListEvacuations(const EvacuationRegisters& registers);

bool IsEvacuated(const EvacuationRegisters& registers,
                 const std::string& data_centre);
std::size_t CountEvacuated(const EvacuationRegisters& registers);

// Returns the share, from 0 to 1, of a minion's capacity in the data centre
// that may be used: 0 during an evacuation, rising to 1 after it.
// `cold_remaining` is the time for which the minion expects to be slower.
double UsableShare(const EvacuationRegisters& registers,
                   const std::string& data_centre, milliseconds cold_remaining,
                   const Now& now);
// Returns the share of the resources, rounded down.
Resources ShareOf(const Resources& resources, double share);

}  // namespace dottereltrack::pool
