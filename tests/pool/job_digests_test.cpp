#include "core/pool/entry/job_digests.h"

#include <catch2/catch.hpp>

namespace dottereltrack::pool {

TEST_CASE("Digests are kept for the retention period, and a limited number",
          "[pool][entry][late_copy]") {
  // Guards against memory that grows with the jobs of a crowd.
  Now now;
  JobDigests known;
  for (JobDigest n = 0; n < 10'000; ++n) {
    now.boot += milliseconds{2};
    known = WithDigests(std::move(known), {n}, now);
  }
  CHECK(CountDigests(known) == 10'000);
  CHECK(Contains(known, 0));
  CHECK_FALSE(Contains(known, 10'000));
  const JobDigests limited = WithoutExcessBlocks(known, BootTime{0}, 3'000);
  CHECK(CountDigests(limited) >= 3'000);
  CHECK(CountDigests(limited) <= 3'000 + 2'048);
  CHECK(Contains(limited, 9'999));
  const JobDigests recent =
      WithoutExcessBlocks(known, now.boot - seconds{6}, 100'000);
  CHECK_FALSE(Contains(recent, 0));
  CHECK(Contains(recent, 7'001));
}

}  // namespace dottereltrack::pool
