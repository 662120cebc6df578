#include "runtime/settings/entry_settings.h"

#include <algorithm>
#include <cctype>

#include "runtime/settings/entry_keys.h"
#include "runtime/settings/key_kinds.h"

namespace dottereltrack {
namespace {

using S = EntryDaemonSettings;
using Key = SettingKey<S>;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxTokenBytes = 256;
constexpr std::size_t kMaxEntrySeeds = 64;
constexpr std::string_view kScheme = "http://";

Key MakeRequired(Key key) {
  key.is_required = true;
  return key;
}

bool ReadStoreUrl(EntryDaemonSettings* settings, const nlohmann::json& value) {
  if (!value.is_string()) return false;
  const auto url = value.get<std::string>();
  if (url.rfind(kScheme, 0) != 0) return false;
  const auto endpoint = ParseEndpoint(url.substr(kScheme.size()));
  if (!endpoint || endpoint->port == 0) return false;
  settings->store_address = *endpoint;
  return true;
}

// The characters are restricted because the cell name is part of store keys.
bool ReadCellName(EntryDaemonSettings* settings, const nlohmann::json& value) {
  constexpr auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_';
  };
  if (!value.is_string()) return false;
  const auto name = value.get<std::string>();
  const bool is_valid = !name.empty() && name.size() <= kMaxNameBytes &&
                        std::all_of(name.begin(), name.end(), is_allowed);
  if (is_valid) settings->cell = name;
  return is_valid;
}

Key StoreUrlKey() {
  Key key = MakeSettingKey<S>("store_url", "Address of the platform's store.",
                              "a text \"http://IP:PORT\"");
  key.is_required = true;
  key.read = ReadStoreUrl;
  key.write = [](const S& settings) -> nlohmann::json {
    return std::string(kScheme) + ToText(settings.store_address);
  };
  return key;
}

Key CellKey() {
  Key key = MakeSettingKey<S>(
      "cell",
      "Name of the cell; its table and configuration have this name in the "
      "store.",
      "1 to " + std::to_string(kMaxNameBytes) +
          " letters, digits, '-' and '_'");
  key.is_required = true;
  key.read = ReadCellName;
  key.write = [](const S& settings) -> nlohmann::json { return settings.cell; };
  return key;
}

Key TokenKey() {
  Key key = StringKey<S>(
      "operator_token", [](auto& s) -> auto& { return s.operator_token; },
      kMaxTokenBytes,
      "Token of the operators' calls; they are refused without one.");
  key.is_secret = true;
  return key;
}

std::vector<Key> IdentityKeys() {
  return {
      EndpointKey<S>(
          "http_listen", [](auto& s) -> auto& { return s.http_listen; }, 0,
          "Where callers and operators connect by HTTP."),
      EndpointKey<S>(
          "link_listen", [](auto& s) -> auto& { return s.link_listen; }, 0,
          "Where agents and other entries connect by TCP."),
      EndpointKey<S>(
          "link_advertise", [](auto& s) -> auto& { return s.link_advertise; },
          0,
          "Address by which others reach link_listen; by default the same, "
          "with the port in use."),
      MakeRequired(StringKey<S>(
          "data_centre", [](auto& s) -> auto& { return s.core.data_centre; },
          kMaxNameBytes, "Data centre of this VM.")),
      CellKey(),
      StoreUrlKey(),
      EndpointListKey<S>(
          "entry_seeds", [](auto& s) -> auto& { return s.core.seeds; }, 0,
          kMaxEntrySeeds,
          "Link addresses of other entries; with them an entry finds its peers "
          "while the store is down."),
      TokenKey(),
  };
}

std::vector<Key> HttpKeys() {
  return {
      NumberKey<S>(
          "http_max_body_bytes",
          [](auto& s) -> auto& { return s.http.max_body_bytes; }, 1 << 10,
          6 << 20,
          "Largest body of a request. A forwarded job must fit into one frame "
          "of 8 MiB."),
      NumberKey<S>(
          "http_max_header_bytes",
          [](auto& s) -> auto& { return s.http.max_header_bytes; }, 256,
          64 << 10, "Largest value of a header field."),
      NumberKey<S>(
          "http_max_connections",
          [](auto& s) -> auto& { return s.http.max_connections; }, 1, 65'000,
          "Connections at the same time, except links to known processes; "
          "beyond "
          "it, unfinished and idle ones are closed."),
      DurationKey<S>(
          "http_read_timeout_ms",
          [](auto& s) -> auto& { return s.http.read_timeout; }, 100, 600'000,
          "Longest time to receive a request or to be idle between two."),
      DurationKey<S>(
          "http_write_timeout_ms",
          [](auto& s) -> auto& { return s.http.write_timeout; }, 100, 600'000,
          "Longest time to send a response."),
      DurationKey<S>(
          "http_reply_timeout_ms",
          [](auto& s) -> auto& { return s.http.reply_timeout; }, 1'000,
          3'600'000, "Longest time from a request to its response."),
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
  for (const auto& group : {IdentityKeys(), HttpKeys(), MachineKeys(),
                            EntryLimitKeys(), EntryDurationKeys(), LogKeys()}) {
    schema.keys.insert(schema.keys.end(), group.begin(), group.end());
  }
  schema.constraints = EntryConstraints();
  return schema;
}

}  // namespace

const SettingsSchema<EntryDaemonSettings>& EntrySchema() {
  static const SettingsSchema<S> schema = MakeSchema();
  return schema;
}

}  // namespace dottereltrack
