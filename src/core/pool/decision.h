#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"

namespace dottereltrack::pool {

// How much a decision matters to somebody who reads the log.
enum class Weight {
  // The usual outcome of a request.
  kRoutine,
  // A request was refused, retried or given up.
  kFailure,
  // What the process believes of others has changed.
  kBelief,
};

// A time as a figure.
inline std::int64_t ToMilliseconds(BootTime time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

// One decision for the log: its outcome, and the inputs that decided it.
struct Decision {
  Weight weight = Weight::kRoutine;
  // Short name, such as "job_refused".
  std::string what{};
  // Id of the job; 0 if the decision concerns none.
  std::uint64_t job = 0;
  std::vector<std::pair<std::string, std::string>> texts{};
  std::vector<std::pair<std::string, std::int64_t>> figures{};
  friend bool operator==(const Decision&, const Decision&) = default;
};

}  // namespace dottereltrack::pool
