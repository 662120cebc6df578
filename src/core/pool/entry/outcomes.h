#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Processes the end of a run. Unless the run is done, its task is started
// again, preferably on another minion, unless it has failed too often.
EntryChanges HandleRunEnded(const EntryBoard& board, LinkId link,
                            const RunEnded& message, const Now& now);
EntryChanges HandleStartRefused(const EntryBoard& board, LinkId link,
                                const StartRefused& message, const Now& now);

// Delay after which a refused caller should try again, unless the refusal is
// due to a backlog.
constexpr milliseconds kRetryAfter{1'000};

// Abandons a job: replies to its callers and stops its runs.
EntryChanges AbandonJob(const EntryBoard& board, const JobRow& job,
                        ReplyKind reply, const std::string& reason,
                        const Now& now, milliseconds retry_after = kRetryAfter);

// Replies to the job's callers that it has failed and stops its runs. `reason`
// is for the log.
EntryChanges FailJob(const EntryBoard& board, const JobRow& job,
                     const std::string& reason, const Now& now);

// Replies to the job's callers that it has completed.
EntryChanges CompleteJob(const EntryBoard& board, const JobRow& job,
                         const Now& now);

// Removes a caller of a job. If it was the last one, the job is abandoned.
EntryChanges RemoveWaiter(const EntryBoard& board, const JobRow& job,
                          CallId call, const std::string& reason,
                          const Now& now);

// Returns the reply to a job that can't be served: `refusal` if it is true that
// the job was not run, else kGivenUp.
ReplyKind RefusalOf(const JobRow& job, ReplyKind refusal);

// Handles a caller that closed its connection.
EntryChanges HandleCallerDisconnected(const EntryBoard& board, CallId call,
                                      const Now& now);

// Abandons jobs past their deadline and jobs for which no minion accepts runs,
// returns tasks to the waiting state once their lost runs have certainly ended,
// and removes ended jobs after the retention period.
EntryChanges CheckTimeLimits(const EntryBoard& board, const Now& now);

// Stops the runs of a job that another entry is to run. The tasks stay.
EntryChanges StopPlacedRuns(const EntryBoard& board, const JobRow& job);

// Whether runs of a job may go on that this entry or the owner of a forwarded
// job has started.
bool MayHaveRuns(const EntryBoard& board, std::uint64_t job);

// Whether some agent of the service accepts new runs.
bool HasAcceptingAgent(const EntryBoard& board, const std::string& service);

}  // namespace dottereltrack::pool
