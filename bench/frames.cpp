#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace dottereltrack {
namespace {

constexpr int kRepeats = 2'000;
constexpr std::size_t kPayloadBytes = 32;

SubmissionId MakeId(std::uint64_t n) {
  return MakeSubmissionId("north", std::to_string(n));
}

Starts MakeStarts(std::size_t tasks) {
  Starts message;
  message.fence = {7, 9};
  for (std::size_t n = 0; n < tasks; ++n) {
    TaskStart start;
    start.id = {MakeId(n / 4), static_cast<std::uint32_t>(n % 4)};
    start.job_size = 4;
    start.kind = "seat-hold";
    start.payload = std::string(kPayloadBytes, 'p');
    message.tasks.push_back(start);
  }
  return message;
}

Results MakeResults(std::size_t tasks) {
  Results message;
  for (std::size_t n = 0; n < tasks; ++n) {
    TaskResult result;
    result.id = {MakeId(n / 4), static_cast<std::uint32_t>(n % 4)};
    result.output = std::string(kPayloadBytes, 'r');
    message.results.push_back(result);
  }
  return message;
}

Inventory MakeInventory(std::size_t tasks) {
  Inventory message;
  for (std::size_t n = 0; n < tasks; ++n) {
    LedgerEntry entry;
    entry.id = {MakeId(n / 4), static_cast<std::uint32_t>(n % 4)};
    entry.state = LedgerState::kDone;
    entry.output = std::string(kPayloadBytes, 'r');
    message.entries.push_back(entry);
  }
  message.last = true;
  return message;
}

TableUpdate MakeTable(std::size_t agents) {
  TableUpdate message;
  for (std::size_t n = 0; n < agents; ++n) {
    message.table.table.roster.push_back(
        {AgentId{n}, "minion-" + std::to_string(n), "dc-1", "rack-12"});
  }
  return message;
}

ConfigUpdate MakeConfig(std::size_t teams) {
  ConfigUpdate message;
  for (std::size_t n = 0; n < teams; ++n) {
    message.config.config.teams["team-" + std::to_string(n)] = {100, 2};
  }
  return message;
}

// Returns the mean duration of one call in microseconds.
double MeanMicroseconds(const std::function<void()>& call) {
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < kRepeats; ++n) call();
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / kRepeats;
}

template <typename Message, typename Decode>
void PrintRow(const char* name, std::size_t count, const Message& message,
              const Decode& decode) {
  const std::string frame = Encode(message);
  if (!decode(frame)) std::exit(1);
  const double encode_us = MeanMicroseconds([&] { Encode(message); });
  const double decode_us = MeanMicroseconds([&] { decode(frame); });
  std::printf("| %s | %zu | %zu | %.1f | %.2f | %.2f |\n", name, count,
              frame.size(),
              static_cast<double>(frame.size()) / static_cast<double>(count),
              encode_us / static_cast<double>(count),
              decode_us / static_cast<double>(count));
}

void PrintTable() {
  const auto to_agent = [](const std::string& frame) {
    return DecodeToAgent(frame).has_value();
  };
  const auto to_entry = [](const std::string& frame) {
    return DecodeToEntry(frame).has_value();
  };
  std::printf(
      "| message | items | bytes | bytes an item | encode us an item | decode "
      "us an item |\n| --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t n : {1, 8, 64, 256}) {
    PrintRow("Starts", n, EntryToAgent(MakeStarts(n)), to_agent);
  }
  for (const std::size_t n : {1, 8, 64, 256}) {
    PrintRow("Results", n, AgentToEntry(MakeResults(n)), to_entry);
  }
  for (const std::size_t n : {10, 100, 1'000}) {
    PrintRow("Inventory", n, AgentToEntry(MakeInventory(n)), to_entry);
  }
  for (const std::size_t n : {10, 100, 600}) {
    PrintRow("TableUpdate", n, EntryToAgent(MakeTable(n)), to_agent);
  }
  for (const std::size_t n : {10, 100, 370}) {
    PrintRow("ConfigUpdate", n, EntryToAgent(MakeConfig(n)), to_agent);
  }
  PrintRow("Heartbeat", 1, EntryToAgent(Heartbeat{{7, 9}, 11}), to_agent);
  PrintRow("HeartbeatAck", 1, AgentToEntry(HeartbeatAck{{{7, 9}, 11}}),
           to_entry);
  PrintRow("PeerHeartbeat", 1, EntryToEntry(PeerHeartbeat{7}), to_entry);
}

}  // namespace
}  // namespace dottereltrack

int main() {
  dottereltrack::PrintTable();
  return 0;
}
