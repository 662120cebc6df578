#include "core/pool/entry/job_digests.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/pool/mix_bits.h"

namespace dottereltrack::pool {
namespace {

// A block of the usual 93 jobs a second of an entry has 465 digests: it is
// copied for each addition, and a retention period of 60 s has 13 blocks, which
// are searched for each submission.
constexpr seconds kBlockDuration{5};
constexpr std::size_t kMaxBlockSize = 2'048;

bool IsOpen(const DigestBlock& block, const Now& now) {
  return now.boot < block.begins_at + kBlockDuration &&
         block.digests->size() < kMaxBlockSize;
}

}  // namespace

JobDigest DigestOf(std::uint64_t job) {
  return static_cast<JobDigest>(MixBits(job + kMixIncrement) >> 32);
}

bool Contains(const JobDigests& known, JobDigest digest) {
  return std::any_of(known.blocks.begin(), known.blocks.end(),
                     [digest](const DigestBlock& block) {
                       return std::binary_search(block.digests->begin(),
                                                 block.digests->end(), digest);
                     });
}

std::size_t CountDigests(const JobDigests& known) {
  std::size_t count = 0;
  for (const DigestBlock& block : known.blocks) count += block.digests->size();
  return count;
}

std::vector<JobDigest> ListDigests(const JobDigests& known) {
  std::vector<JobDigest> all;
  all.reserve(CountDigests(known));
  for (const DigestBlock& block : known.blocks) {
    all.insert(all.end(), block.digests->begin(), block.digests->end());
  }
  return all;
}

JobDigests WithDigests(JobDigests known, std::vector<JobDigest> added,
                       const Now& now) {
  if (added.empty()) return known;
  std::sort(added.begin(), added.end());
  if (known.blocks.empty() || !IsOpen(known.blocks.back(), now)) {
    known.blocks.push_back({now.boot, std::move(added)});
    return known;
  }
  DigestBlock& block = known.blocks.back();
  std::vector<JobDigest> merged;
  merged.reserve(block.digests->size() + added.size());
  std::merge(block.digests->begin(), block.digests->end(), added.begin(),
             added.end(), std::back_inserter(merged));
  block.digests = std::move(merged);
  return known;
}

bool HasExcessBlock(const JobDigests& known, BootTime oldest,
                    std::size_t max_count) {
  if (known.blocks.empty()) return false;
  const DigestBlock& first = known.blocks.front();
  return first.begins_at + kBlockDuration <= oldest ||
         CountDigests(known) - first.digests->size() >= max_count;
}

JobDigests WithoutExcessBlocks(JobDigests known, BootTime oldest,
                               std::size_t max_count) {
  while (HasExcessBlock(known, oldest, max_count)) {
    known.blocks.erase(known.blocks.begin());
  }
  return known;
}

}  // namespace dottereltrack::pool
