#include "runtime/log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dottereltrack {
namespace {

// A pipe whose read end does not block.
class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(fds_.data()) == 0);
    fcntl(fds_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(fds_[0]);
    close(fds_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int write_end() const { return fds_[1]; }

  // The complete lines written so far.
  std::vector<nlohmann::json> ReadLines() {
    std::array<char, 4'096> buf{};
    for (ssize_t n = 0; (n = read(fds_[0], buf.data(), buf.size())) > 0;) {
      text_.append(buf.data(), static_cast<std::size_t>(n));
    }
    std::vector<nlohmann::json> lines;
    for (auto end = text_.find('\n'); end != std::string::npos;
         end = text_.find('\n')) {
      lines.push_back(nlohmann::json::parse(text_.substr(0, end)));
      text_.erase(0, end + 1);
    }
    return lines;
  }

 private:
  std::array<int, 2> fds_{};
  // The start of a line whose end has not been written yet.
  std::string text_;
};

TEST_CASE("A line holds its fields, its event and its node", "[log]") {
  // Guards against log lines that cannot be matched to their request.
  Pipe pipe;
  EventLog log(pipe.write_end(), "entry-1");
  log.Write("job_refused", {{"job", "5c0e"}, {"backlog_ms", 12}});
  const auto lines = pipe.ReadLines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("event") == "job_refused");
  CHECK(lines[0].at("node") == "entry-1");
  CHECK(lines[0].at("job") == "5c0e");
  CHECK(lines[0].at("backlog_ms") == 12);
  CHECK(lines[0].at("time_ms").is_number());
}

TEST_CASE("The rate limit of an event depends on its line budget", "[log]") {
  // Guards against a flooded log, and against failure events that are omitted
  // because of many routine events.
  struct Row {
    LineBudget budget;
    std::size_t min_expected_lines;
    std::size_t max_expected_lines;
  };
  // The second may change while the lines are written, which doubles the limit.
  const auto row = GENERATE(values<Row>({{LineBudget::kRoutine, 20, 40},
                                         {LineBudget::kFailure, 100, 200},
                                         {LineBudget::kUnlimited, 300, 300}}));
  Pipe pipe;
  EventLog log(pipe.write_end(), "n");
  for (int n = 0; n < 300; ++n) log.Write("event", {{"n", n}}, row.budget);
  const std::size_t lines = pipe.ReadLines().size();
  CHECK(lines >= row.min_expected_lines);
  CHECK(lines <= row.max_expected_lines);
}

TEST_CASE("A full pipe drops lines, counts them and never blocks", "[log]") {
  // Guards against a process that blocks because its log is not read.
  Pipe pipe;
  EventLog log(pipe.write_end(), "n");
  const std::string filler(1'000, 'x');
  for (int n = 0; n < 1'000; ++n) log.Write("event", {{"filler", filler}});
  CHECK(log.dropped_count() > 0);
  pipe.ReadLines();
  // The first of these flushes the buffered lines as far as the pipe has room.
  log.Write("next", {});
  pipe.ReadLines();
  log.Write("last", {});
  const auto lines = pipe.ReadLines();
  REQUIRE_FALSE(lines.empty());
  CHECK(lines.back().at("event") == "last");
  CHECK(lines.back().at("dropped") == log.dropped_count());
}

}  // namespace
}  // namespace dottereltrack
