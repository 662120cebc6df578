#include "runtime/settings/agent_settings.h"

#include "runtime/settings/key_kinds.h"

namespace dottereltrack {
namespace {

using S = AgentDaemonSettings;
using Key = SettingKey<S>;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxEntrySeeds = 64;
// Maximum value of a duration key: one day.
constexpr std::int64_t kMaxSettingDurationMs = 86'400'000;

Key MakeRequired(Key key) {
  key.is_required = true;
  return key;
}

std::vector<Key> IdentityKeys() {
  return {
      EndpointKey<S>(
          "http_listen", [](auto& s) -> auto& { return s.http_listen; }, 0,
          "Where the minion announces itself by HTTP."),
      MakeRequired(EndpointListKey<S>(
          "entry_seeds", [](auto& s) -> auto& { return s.entry_seeds; }, 1,
          kMaxEntrySeeds,
          "Link addresses of entries; the agent learns the others from them.")),
      MakeRequired(StringKey<S>(
          "data_centre", [](auto& s) -> auto& { return s.data_centre; },
          kMaxNameBytes, "Data centre of this VM.")),
      StringKey<S>(
          "rack", [](auto& s) -> auto& { return s.rack; }, kMaxNameBytes,
          "Rack of this VM; without one it counts as a rack of its own."),
  };
}

std::vector<Key> CoreKeys() {
  return {
      DurationKey<S>(
          "retention_ms", [](auto& s) -> auto& { return s.core.retention; },
          1'000, kMaxSettingDurationMs,
          "How long records are kept; at least the retention of the entries."),
      DurationKey<S>(
          "ack_delay_ms", [](auto& s) -> auto& { return s.core.ack_delay; }, 0,
          kMaxSettingDurationMs,
          "Longest time that a message stays unacknowledged; at most half of "
          "the entries' authority_timeout_ms."),
      DurationKey<S>(
          "dial_retry_ms", [](auto& s) -> auto& { return s.core.dial_retry; },
          10, kMaxSettingDurationMs,
          "Wait between two attempts to reach an entry."),
      DurationKey<S>(
          "leave_timeout_ms",
          [](auto& s) -> auto& { return s.core.leave_timeout; }, 0,
          kMaxSettingDurationMs,
          "After this time a stopping agent ends in any case."),
      NumberKey<S>(
          "max_output_bytes",
          [](auto& s) -> auto& { return s.core.max_output_bytes; }, 1 << 10,
          1 << 30, "Sum of the outputs that are kept in the ledger."),
      NumberKey<S>(
          "max_inventory_entries",
          [](auto& s) -> auto& { return s.core.max_inventory_entries; }, 1,
          100'000, "Most records in one part of an inventory."),
      NumberKey<S>(
          "max_inventory_bytes",
          [](auto& s) -> auto& { return s.core.max_inventory_bytes; }, 1 << 10,
          6 << 20,
          "Outputs in one part of an inventory. It must fit into one frame of "
          "8 MiB."),
  };
}

std::vector<Key> HttpKeys() {
  return {
      NumberKey<S>(
          "http_max_body_bytes",
          [](auto& s) -> auto& { return s.http.max_body_bytes; }, 1 << 10,
          1 << 20, "Largest announcement of the minion."),
      NumberKey<S>(
          "http_max_connections",
          [](auto& s) -> auto& { return s.http.max_connections; }, 1, 1'024,
          "Connections at the same time; beyond it, unfinished and idle ones "
          "are "
          "closed."),
      DurationKey<S>(
          "http_read_timeout_ms",
          [](auto& s) -> auto& { return s.http.read_timeout; }, 100, 600'000,
          "Longest time to receive a request or to be idle between two."),
  };
}

std::vector<Key> MachineKeys() {
  return {
      NumberKey<S>(
          "memory_mb", [](auto& s) -> auto& { return s.machine.memory_mb; }, 32,
          1 << 20,
          "Memory of this VM in MiB; a quarter of it may hold unfinished "
          "requests."),
      NumberKey<S>(
          "max_descriptors",
          [](auto& s) -> auto& { return s.machine.max_descriptors; }, 100,
          1 << 20,
          "File descriptors that this process may open; 600 of them are not "
          "for callers."),
  };
}

std::vector<Key> LogKeys() {
  const auto log = [](auto& s) -> auto& { return s.log; };
  return {LogLevelKey<S>(log), LogPartLevelsKey<S>(log), LogFormatKey<S>(log)};
}

SettingsSchema<S> MakeSchema() {
  SettingsSchema<S> schema;
  for (const auto& group :
       {IdentityKeys(), CoreKeys(), HttpKeys(), MachineKeys(), LogKeys()}) {
    schema.keys.insert(schema.keys.end(), group.begin(), group.end());
  }
  schema.constraints = {
      {"max_inventory_bytes", "at most max_output_bytes",
       "lower it or raise max_output_bytes",
       [](const S& s) {
         return s.core.max_inventory_bytes <= s.core.max_output_bytes;
       }},
      {"ack_delay_ms", "less than retention_ms",
       "lower it; otherwise a record can expire before it is acknowledged",
       [](const S& s) { return s.core.ack_delay < s.core.retention; }},
  };
  return schema;
}

}  // namespace

const SettingsSchema<AgentDaemonSettings>& AgentSchema() {
  static const SettingsSchema<S> schema = MakeSchema();
  return schema;
}

}  // namespace dottereltrack
