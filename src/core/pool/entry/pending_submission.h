#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/pool/entry/job_submitted.h"

namespace dottereltrack::pool {

// What the peers have answered about a job that has been submitted here.
struct PeerAnswers {
  // No answer is missing, and no peer has the job.
  bool are_complete = false;
  // A peer may have begun the job.
  bool may_have_run = false;
  // Runs that a peer has started may go on until this time; 0 if there are
  // none.
  BootTime runs_end_by{0};
  friend bool operator==(const PeerAnswers&, const PeerAnswers&) = default;
};

// A submission that is held while peers are asked about its job.
struct PendingSubmission {
  struct Id {
    std::uint64_t job = 0;
    CallId call;
    friend auto operator<=>(const Id&, const Id&) = default;
  };

  JobSubmitted submission;
  BootTime received_at{0};
  // Links to the peers that have not answered.
  std::vector<LinkId> unanswered;
  PeerAnswers answers;
  // No peer has been asked, since not all of them have announced their jobs
  // after a start or a pause of this process.
  bool awaits_announcements = false;

  Id Key() const { return {submission.job.id, submission.call}; }
  friend bool operator==(const PendingSubmission&,
                         const PendingSubmission&) = default;
};

}  // namespace dottereltrack::pool
