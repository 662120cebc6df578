#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"

namespace dottereltrack::pool {

// Severity of a decision in the log.
enum class Severity {
  // The usual outcome of a request.
  kRoutine,
  // A request was refused, retried or given up.
  kFailure,
  // The state of this process, or what it knows of others, has changed.
  kStateChange,
};

// Converts a time for `Decision::numbers`.
inline std::int64_t ToMilliseconds(BootTime time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

// One decision for the log: its outcome and the inputs that led to it.
struct Decision {
  Severity severity = Severity::kRoutine;
  // Event name, such as "job_refused".
  std::string event{};
  // Id of the job; 0 if the decision concerns none.
  std::uint64_t job = 0;
  std::vector<std::pair<std::string, std::string>> texts{};
  std::vector<std::pair<std::string, std::int64_t>> numbers{};
  friend bool operator==(const Decision&, const Decision&) = default;
};

}  // namespace dottereltrack::pool
