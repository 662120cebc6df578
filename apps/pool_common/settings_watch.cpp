#include "apps/pool_common/settings_watch.h"

#include <utility>

#include "runtime/settings/endpoint_text.h"
#include "runtime/settings/file.h"

namespace dottereltrack::pool {
namespace {

using nlohmann::json;
using users_platform::NodeSettings;

// Interval at which the file is checked for changes made without a SIGHUP.
// Seeds are only used while no entry is known, so a delay of a few seconds is
// harmless.
constexpr milliseconds kCheckInterval{2'000};

// The only setting that a running process applies. All others require a
// restart.
constexpr const char* kSeedsSetting = "seeds";

}  // namespace

json ToJson(const NodeSettings& settings) {
  json seeds = json::array();
  for (const Endpoint& seed : settings.seeds) seeds.push_back(ToText(seed));
  return {{"node", settings.node_name},
          {"data_centre", settings.data_centre},
          {"client_address", ToText(settings.client_address)},
          {"readiness_address", ToText(settings.readiness_address)},
          {"report_address", ToText(settings.report_address)},
          {"internal_address", ToText(settings.internal_address)},
          {kSeedsSetting, std::move(seeds)},
          {"service", settings.service},
          {"store_address", ToText(settings.store_address)},
          {"max_descriptors", settings.max_descriptors},
          {"cpu_cores", settings.cpu_cores},
          {"memory_mb", settings.memory_mb},
          {"link_mbps", settings.link_mbps},
          {"overload_share", settings.overload_share},
          {"remote_factor", settings.remote_factor},
          {"data_centres", settings.data_centres}};
}

std::vector<std::string> ChangedSettings(const NodeSettings& before,
                                         const NodeSettings& after) {
  const json old_values = ToJson(before);
  const json new_values = ToJson(after);
  std::vector<std::string> names;
  for (const auto& [name, value] : new_values.items()) {
    if (value != old_values.at(name)) names.push_back(name);
  }
  return names;
}

SettingsWatch::SettingsWatch(asio::io_context& loop, SettingsFile file,
                             EventLog& log, ChangeCallback on_change)
    : file_(std::move(file)),
      log_(log),
      on_change_(std::move(on_change)),
      timer_(loop) {}

void SettingsWatch::Start() { ScheduleCheck(); }

void SettingsWatch::ScheduleCheck() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (ec) return;
    CheckFile(false);
    ScheduleCheck();
  });
}

void SettingsWatch::Reload() { CheckFile(true); }

void SettingsWatch::CheckFile(bool is_requested) {
  const auto text = ReadFile(file_.path);
  const bool is_unchanged = text && *text == file_.text;
  if (is_unchanged && !is_requested) return;
  if (!text) {
    // The file may be missing while it is being replaced; the next check
    // retries.
    if (is_requested) {
      log_.Write("reload_refused", {{"problem", "the file cannot be read"}});
    }
    return;
  }
  file_.text = *text;
  const auto settings = users_platform::ParseNodeSettings(*text);
  if (!settings) {
    log_.Write("reload_refused", {{"problem", settings.error().message}});
    return;
  }
  for (const std::string& problem : settings.value().seed_problems) {
    log_.Write("seed_ignored", {{"problem", problem}});
  }
  std::vector<std::string> changed =
      ChangedSettings(file_.settings, settings.value());
  const bool has_new_seeds = settings.value().seeds != file_.settings.seeds;
  file_.settings = settings.value();
  std::vector<std::string> need_restart = changed;
  std::erase(need_restart, kSeedsSetting);
  log_.Write("reload",
             {{"changed", changed}, {"after_a_restart", need_restart}});
  if (has_new_seeds) on_change_(file_.settings);
}

}  // namespace dottereltrack::pool
