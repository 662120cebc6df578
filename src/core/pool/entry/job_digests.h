#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/shared.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Short digest of a job's id. Jobs may share one, so it is only a hint that a
// job is known; the full id decides.
using JobDigest = std::uint32_t;

JobDigest DigestOf(std::uint64_t job);

// Digests of the jobs of a few seconds, in ascending order.
struct DigestBlock {
  BootTime begins_at{0};
  Shared<std::vector<JobDigest>> digests;
  friend bool operator==(const DigestBlock&, const DigestBlock&) = default;
};

// Digests of the jobs of a retention period, in blocks that are added at the
// end and removed at the beginning. A digest takes 4 bytes.
struct JobDigests {
  std::vector<DigestBlock> blocks;
  friend bool operator==(const JobDigests&, const JobDigests&) = default;
};

bool Contains(const JobDigests& known, JobDigest digest);
std::size_t CountDigests(const JobDigests& known);
std::vector<JobDigest> ListDigests(const JobDigests& known);

// Returns the digests with those of jobs that have been added now.
JobDigests WithDigests(JobDigests known, std::vector<JobDigest> added,
                       const Now& now);

// Whether the first block was completed before `oldest`, or the blocks after
// it hold `max_count` digests by themselves.
bool HasExcessBlock(const JobDigests& known, BootTime oldest,
                    std::size_t max_count);
// Returns the digests without all such blocks.
JobDigests WithoutExcessBlocks(JobDigests known, BootTime oldest,
                               std::size_t max_count);

}  // namespace dottereltrack::pool
