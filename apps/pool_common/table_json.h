#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "core/pool/decision.h"
#include "core/pool/evacuation.h"
#include "core/pool/known_entries.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Maximum number of rows per table in a state dump; keeps the dump below 1 MB.
inline constexpr std::size_t kMaxDumpRows = 1'000;

// Milliseconds elapsed since `at`; negative if `at` is in the future.
inline std::int64_t AgeMs(BootTime at, const Now& now) {
  return ToMilliseconds(now.boot - at);
}

// Returns the size of a table and its first kMaxDumpRows rows.
template <typename Row>
nlohmann::json TableToJson(const Table<Row>& table, const Now& now,
                           nlohmann::json (*row_to_json)(const Row&,
                                                         const Now&)) {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, row] : table) {
    if (rows.size() == kMaxDumpRows) break;
    rows.push_back(row_to_json(row, now));
  }
  return {{"size", table.size()}, {"rows", std::move(rows)}};
}

nlohmann::json EvacuationToJson(const EvacuationRow& evacuation,
                                const Now& now);
nlohmann::json KnownEntryToJson(const KnownEntry& entry, const Now& now);

}  // namespace dottereltrack::pool
