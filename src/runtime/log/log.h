#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dottereltrack {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

// The parts that write log lines. The name of the part is the line's prefix.
enum class LogPart { kMain, kSettings, kHttp, kLinks, kStore, kCell, kMinion };

inline constexpr int kLogPartCount = static_cast<int>(LogPart::kMinion) + 1;

// How a process writes its log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  // Levels of single parts that differ from `level`.
  std::map<LogPart, LogLevel> part_levels;
  // One JSON object per line instead of text.
  bool json_lines = false;
  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

const char* ToString(LogLevel level);
const char* ToString(LogPart part);
std::optional<LogLevel> ParseLogLevel(std::string_view name);
std::optional<LogPart> ParseLogPart(std::string_view name);

// Sends the log to standard error in the given form. Call it once, before the
// first line.
void ConfigureLog(const LogSettings& settings);

// Changes the level of one part while the process runs.
void SetLogLevel(LogPart part, LogLevel level);
LogLevel LogLevelOf(LogPart part);

// Writes a line if the part's level lets it through. A line that equals a
// recent one of the same part is counted instead, and the count is written with
// the next such line. Lines must not contain payloads, keys or tokens.
void Log(LogPart part, LogLevel level, std::string_view text);

}  // namespace dottereltrack
