#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/cell.h"
#include "core/entry/events.h"

namespace dottereltrack {

// Result of a write. `revision` is the revision of the written value if it was
// applied, otherwise 0.
struct WriteResult {
  WriteStatus status = WriteStatus::kNotApplied;
  std::uint64_t revision = 0;
};

// Interface of the store. A front end may supply its own functions. Each
// callback is invoked once, on the event loop's thread, within the client's
// timeout.
struct Store {
  // Reads a value; std::nullopt if the store did not answer. A missing value is
  // reported with revision 0.
  std::function<void(std::function<void(std::optional<StoredTable>)>)>
      read_table;
  std::function<void(std::function<void(std::optional<StoredConfig>)>)>
      read_config;
  // Waits for a value newer than `after_revision`. Calls back with std::nullopt
  // on failure or if the wait ends without a change.
  std::function<void(std::uint64_t after_revision,
                     std::function<void(std::optional<StoredTable>)>)>
      watch_table;
  std::function<void(std::uint64_t after_revision,
                     std::function<void(std::optional<StoredConfig>)>)>
      watch_config;
  // Compare-and-swap: writes only if the stored value has `expected_revision`.
  std::function<void(std::uint64_t expected_revision, const CellTable& table,
                     std::function<void(WriteResult)>)>
      write_table;
  std::function<void(std::uint64_t expected_revision, const CellConfig& config,
                     std::function<void(WriteResult)>)>
      write_config;
};

}  // namespace dottereltrack
