#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/cell.h"
#include "core/entry/events.h"

namespace dottereltrack {

// How a write has ended. The revision is that of the written value if applied.
struct WriteResult {
  WriteStatus status = WriteStatus::kNotApplied;
  std::uint64_t revision = 0;
};

// The calls on the store. A front end may put its own functions here. Each
// callback runs once, on the loop's thread, within the client's timeout.
struct Store {
  // Reads a value; nothing if the store did not answer. A missing value has
  // revision 0.
  std::function<void(std::function<void(std::optional<StoredTable>)>)>
      read_table;
  std::function<void(std::function<void(std::optional<StoredConfig>)>)>
      read_config;
  // Waits for a value newer than the revision. Calls back with nothing on
  // failure or when the wait has ended without a change.
  std::function<void(std::uint64_t after_revision,
                     std::function<void(std::optional<StoredTable>)>)>
      watch_table;
  std::function<void(std::uint64_t after_revision,
                     std::function<void(std::optional<StoredConfig>)>)>
      watch_config;
  // Compare-and-swap against the revision.
  std::function<void(std::uint64_t expected_revision, const CellTable& table,
                     std::function<void(WriteResult)>)>
      write_table;
  std::function<void(std::uint64_t expected_revision, const CellConfig& config,
                     std::function<void(WriteResult)>)>
      write_config;
};

}  // namespace dottereltrack
