#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "api/reply.h"
#include "core/entry/settings.h"
#include "core/job.h"

namespace dottereltrack {

// What a key is made of if the caller sends none.
struct KeySeed {
  WallTime now{0};
  std::uint64_t random_high = 0;
  std::uint64_t random_low = 0;
};

// A submission as parsed.
struct ParsedJob {
  SubmitRequest request;
  // The caller sent no key, so no other entry can know it.
  bool key_made_here = false;
  friend bool operator==(const ParsedJob&, const ParsedJob&) = default;
};

// Parses the body of POST /v1/jobs. `header_key` is the Idempotency-Key header,
// or empty. Limits that the decisions check anyway are not checked here.
ApiResult<ParsedJob> ParseJob(const EntrySettings& settings,
                              std::string_view body,
                              const std::string& header_key,
                              const KeySeed& seed);

// A UUIDv7, whose first 48 bits are the time.
std::string MakeTimedKey(const KeySeed& seed);

// Digest of what the job does: team, selector and tasks. Two bodies that differ
// only in their form have the same digest.
std::uint64_t CanonicalDigest(const SubmitRequest& request);

}  // namespace dottereltrack
