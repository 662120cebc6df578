#include "runtime/log/log.h"

#include <catch2/catch.hpp>

#include "runtime/log/repeat_filter.h"

namespace dottereltrack {

// Guards against a log that grows without bound while an error persists, and
// against suppressed lines that are never counted in the log.
TEST_CASE("identical log lines within the interval are counted", "[log]") {
  RepeatFilter filter;
  filter.interval = milliseconds{100};
  CHECK(AdmitLine(&filter, "a", milliseconds{0}) == 0U);
  CHECK(AdmitLine(&filter, "a", milliseconds{50}) == std::nullopt);
  CHECK(AdmitLine(&filter, "b", milliseconds{50}) == 0U);
  CHECK(AdmitLine(&filter, "a", milliseconds{99}) == std::nullopt);
  CHECK(AdmitLine(&filter, "a", milliseconds{100}) == 2U);
  CHECK(AdmitLine(&filter, "a", milliseconds{200}) == 0U);
}

// Guards against memory use that grows with the number of distinct lines.
TEST_CASE("the repeat filter evicts the oldest line", "[log]") {
  RepeatFilter filter;
  filter.max_lines = 2;
  AdmitLine(&filter, "a", milliseconds{1});
  AdmitLine(&filter, "b", milliseconds{2});
  AdmitLine(&filter, "c", milliseconds{3});
  CHECK(filter.recent.size() == 2);
  CHECK(filter.recent.count("a") == 0);
}

// Guards against a level change that affects the wrong part.
TEST_CASE("the level of one part changes at run time", "[log]") {
  SetLogLevel(LogPart::kLinks, LogLevel::kDebug);
  SetLogLevel(LogPart::kStore, LogLevel::kError);
  CHECK(GetLogLevel(LogPart::kLinks) == LogLevel::kDebug);
  CHECK(GetLogLevel(LogPart::kStore) == LogLevel::kError);
}

// Guards against names that are printed but cannot be parsed.
TEST_CASE("each part and level is parsed from its name", "[log]") {
  const auto part = static_cast<LogPart>(GENERATE(range(0, kLogPartCount)));
  CHECK(ParseLogPart(ToString(part)) == part);
  const auto level = static_cast<LogLevel>(GENERATE(range(0, 5)));
  CHECK(ParseLogLevel(ToString(level)) == level);
}

}  // namespace dottereltrack
