#include "runtime/log/log.h"

#include <catch2/catch.hpp>

#include "runtime/log/repeats.h"

namespace dottereltrack {

// Guards against a log that grows without bound while one fault persists, and
// against suppressed lines that are never accounted for.
TEST_CASE("equal log lines within the interval are counted", "[log]") {
  RepeatFilter filter;
  filter.interval = milliseconds{100};
  CHECK(AdmitLine(&filter, "a", milliseconds{0}) == 0U);
  CHECK(AdmitLine(&filter, "a", milliseconds{50}) == std::nullopt);
  CHECK(AdmitLine(&filter, "b", milliseconds{50}) == 0U);
  CHECK(AdmitLine(&filter, "a", milliseconds{99}) == std::nullopt);
  CHECK(AdmitLine(&filter, "a", milliseconds{100}) == 2U);
  CHECK(AdmitLine(&filter, "a", milliseconds{200}) == 0U);
}

// Guards against memory that grows with the number of different lines.
TEST_CASE("the repeat filter forgets the oldest line", "[log]") {
  RepeatFilter filter;
  filter.max_lines = 2;
  AdmitLine(&filter, "a", milliseconds{1});
  AdmitLine(&filter, "b", milliseconds{2});
  AdmitLine(&filter, "c", milliseconds{3});
  CHECK(filter.recent.size() == 2);
  CHECK(filter.recent.count("a") == 0);
}

// Guards against a level that changes for the wrong part.
TEST_CASE("the level of one part changes at run time", "[log]") {
  SetLogLevel(LogPart::kLinks, LogLevel::kDebug);
  SetLogLevel(LogPart::kStore, LogLevel::kError);
  CHECK(LogLevelOf(LogPart::kLinks) == LogLevel::kDebug);
  CHECK(LogLevelOf(LogPart::kStore) == LogLevel::kError);
}

// Guards against names that are printed but cannot be set.
TEST_CASE("each part and level is read back from its name", "[log]") {
  const auto part = static_cast<LogPart>(GENERATE(range(0, kLogPartCount)));
  CHECK(ParseLogPart(ToString(part)) == part);
  const auto level = static_cast<LogLevel>(GENERATE(range(0, 5)));
  CHECK(ParseLogLevel(ToString(level)) == level);
}

}  // namespace dottereltrack
