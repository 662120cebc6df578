#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dottereltrack {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

// The program parts that write log lines. Each line starts with the name of its
// part.
enum class LogPart { kMain, kSettings, kHttp, kLinks, kStore, kCell, kMinion };

inline constexpr int kLogPartCount = static_cast<int>(LogPart::kMinion) + 1;

// Log configuration of a process.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  // Overrides of `level` for individual parts.
  std::map<LogPart, LogLevel> part_levels;
  // One JSON object per line instead of text.
  bool json_lines = false;
  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

const char* ToString(LogLevel level);
const char* ToString(LogPart part);
std::optional<LogLevel> ParseLogLevel(std::string_view name);
std::optional<LogPart> ParseLogPart(std::string_view name);

// Sets the log levels and the line format; the log goes to standard error. Must
// be called once, before the first log line.
void ConfigureLog(const LogSettings& settings);

// Changes the level of one part while the process runs.
void SetLogLevel(LogPart part, LogLevel level);
LogLevel GetLogLevel(LogPart part);

// Writes a line if its level is enabled for the part. A line that repeats a
// recent line of the same part is only counted; the count is added to the next
// such line that is written. Lines must not contain payloads, keys or tokens.
void Log(LogPart part, LogLevel level, std::string_view text);

}  // namespace dottereltrack
