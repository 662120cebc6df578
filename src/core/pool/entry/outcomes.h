#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Takes note of the end of a run. A run that has not ended as done is started
// again elsewhere, unless its task has failed too often.
EntryChanges HandleRunEnded(const EntryBoard& board, LinkId link,
                            const RunEnded& message, const Now& now);
EntryChanges HandleStartRefused(const EntryBoard& board, LinkId link,
                                const StartRefused& message, const Now& now);

// Gives up a job: answers its callers and stops its runs.
EntryChanges GiveUp(const EntryBoard& board, const JobRow& job, ReplyKind reply,
                    const std::string& reason, const Now& now);

// Jobs whose callers have gone, or who cancel.
EntryChanges HandleCallerGone(const EntryBoard& board, CallId call,
                              const Now& now);
EntryChanges HandleCancel(const EntryBoard& board, const JobCancelled& e,
                          const Now& now);

// Gives up jobs past their deadline and those that no minion can take, frees
// lost runs after their bound, and forgets old outcomes.
EntryChanges CheckJobTimes(const EntryBoard& board, const Now& now);

// Whether some agent of the service takes new runs.
bool HasAcceptingAgent(const EntryBoard& board, const std::string& service);

}  // namespace dottereltrack::pool
