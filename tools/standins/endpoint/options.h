#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dottereltrack::standins {

// How the stand-in responds to tasks.
enum class TaskMode {
  kSucceed,
  // Answers every task with status 500.
  kFail,
  // Runs every task and closes the connection without an answer.
  kDrop,
};

// Command-line options of the stand-in.
struct EndpointOptions {
  std::string host;
  std::uint16_t port = 0;
  // Host and port of the agent; empty to send no announcements.
  std::string agent;
  std::string name;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint64_t memory_bytes = 0;
  std::uint32_t accelerators = 0;
  std::string rack;
  std::string data_centre;
  // Ratio of the run time to the time in the payload.
  double speed = 1.0;
  // Added to the run time of each task.
  std::chrono::milliseconds extra_delay{0};
  TaskMode mode = TaskMode::kSucceed;
  friend bool operator==(const EndpointOptions&,
                         const EndpointOptions&) = default;
};

// Parses the arguments, which must not include the program name. Throws
// std::invalid_argument with a message that names the option if --labels or
// --mode is invalid.
EndpointOptions ParseEndpointOptions(const std::vector<std::string>& arguments);

}  // namespace dottereltrack::standins
