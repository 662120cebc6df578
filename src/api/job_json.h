#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "api/reply.h"
#include "core/entry/settings.h"
#include "core/job.h"

namespace dottereltrack {

// Inputs for generating an idempotency key if the caller sends none.
struct KeySeed {
  WallTime now{0};
  std::uint64_t random_high = 0;
  std::uint64_t random_low = 0;
};

// Result of parsing a job submission.
struct ParsedJob {
  SubmitRequest request;
  // Whether this entry generated the key because the caller sent none. No other
  // entry can know such a key.
  bool key_made_here = false;
  friend bool operator==(const ParsedJob&, const ParsedJob&) = default;
};

// Parses the body of POST /v1/jobs. `header_key` is the value of the
// Idempotency-Key header, or empty. Limits that the controllers enforce are not
// checked here.
ApiResult<ParsedJob> ParseJob(const EntrySettings& settings,
                              std::string_view body,
                              const std::string& header_key,
                              const KeySeed& seed);

// Generates a UUIDv7, whose first 48 bits are the time in milliseconds.
std::string GenerateUuidV7(const KeySeed& seed);

// Returns a digest of the job's content: team, selector and tasks. Bodies that
// encode the same content differently have the same digest.
std::uint64_t CanonicalDigest(const SubmitRequest& request);

}  // namespace dottereltrack
