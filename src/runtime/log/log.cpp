#include "runtime/log/log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

#include "runtime/clock.h"
#include "runtime/log/repeat_filter.h"

INITIALIZE_EASYLOGGINGPP

namespace dottereltrack {
namespace {

constexpr std::array<const char*, 5> kLevelNames = {"debug", "info", "warning",
                                                    "error", "off"};
constexpr std::array<const char*, kLogPartCount> kPartNames = {
    "main", "settings", "http", "links", "store", "cell", "minion"};

struct LogState {
  LogState() {
    for (auto& level : levels) level = LogLevel::kOff;
  }

  // All levels are off until ConfigureLog sets them.
  std::array<std::atomic<LogLevel>, kLogPartCount> levels{};
  bool json_lines = false;
  std::mutex mutex;
  RepeatFilter repeats;
};

LogState& State() {
  static LogState state;
  return state;
}

template <typename Enum, std::size_t n>
std::optional<Enum> ParseEnumName(const std::array<const char*, n>& names,
                                  std::string_view name) {
  for (std::size_t it = 0; it < n; ++it) {
    if (name == names[it]) return static_cast<Enum>(it);
  }
  return std::nullopt;
}

std::string JsonLine(LogPart part, LogLevel level, const std::string& text) {
  using nlohmann::json;
  const json line = {{"time_ms", WallNow().count()},
                     {"level", ToString(level)},
                     {"part", ToString(part)},
                     {"message", text}};
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

void WriteLine(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::kDebug:
      CLOG(DEBUG, "dottereltrack") << line;
      break;
    case LogLevel::kInfo:
      CLOG(INFO, "dottereltrack") << line;
      break;
    case LogLevel::kWarning:
      CLOG(WARNING, "dottereltrack") << line;
      break;
    case LogLevel::kError:
    case LogLevel::kOff:
      CLOG(ERROR, "dottereltrack") << line;
      break;
  }
}

}  // namespace

const char* ToString(LogLevel level) {
  return kLevelNames[static_cast<std::size_t>(level)];
}

const char* ToString(LogPart part) {
  return kPartNames[static_cast<std::size_t>(part)];
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  return ParseEnumName<LogLevel>(kLevelNames, name);
}

std::optional<LogPart> ParseLogPart(std::string_view name) {
  return ParseEnumName<LogPart>(kPartNames, name);
}

void ConfigureLog(const LogSettings& settings) {
  for (int n = 0; n < kLogPartCount; ++n) {
    const auto part = static_cast<LogPart>(n);
    const auto it = settings.part_levels.find(part);
    SetLogLevel(part,
                it == settings.part_levels.end() ? settings.level : it->second);
  }
  State().json_lines = settings.json_lines;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      settings.json_lines ? "%msg"
                          : "%datetime{%Y-%M-%d %H:%m:%s.%g} %level %msg");
  el::Loggers::getLogger("dottereltrack");
  el::Loggers::reconfigureLogger("dottereltrack", configuration);
}

void SetLogLevel(LogPart part, LogLevel level) {
  State().levels[static_cast<std::size_t>(part)] = level;
}

LogLevel GetLogLevel(LogPart part) {
  return State().levels[static_cast<std::size_t>(part)];
}

void Log(LogPart part, LogLevel level, std::string_view text) {
  if (level < GetLogLevel(part)) return;
  std::string line = std::string(ToString(part)) + ": " + std::string(text);
  LogState& state = State();
  std::optional<std::uint64_t> suppressed;
  {
    const std::lock_guard lock(state.mutex);
    suppressed = AdmitLine(&state.repeats, line, BootNow());
  }
  if (!suppressed) return;
  std::string message(text);
  if (*suppressed > 0) {
    const std::string note =
        " (" + std::to_string(*suppressed) + " identical lines suppressed)";
    line += note;
    message += note;
  }
  WriteLine(level, state.json_lines ? JsonLine(part, level, message) : line);
}

}  // namespace dottereltrack
