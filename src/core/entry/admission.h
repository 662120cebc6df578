#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// The issue time inside a UUIDv7 key; empty for an opaque key.
std::optional<WallTime> IssueTimeOf(const std::string& key);

// The refusal of a request whose key belongs to a job with another body.
Refusal KeyReused();

// Checks all that does not depend on the state of the cell. Returns the refusal
// of a request that breaks a limit, naming the limit.
std::optional<Refusal> ValidateRequest(const EntrySettings& settings,
                                       const SubmitRequest& request);

// Accepts a submission at the dispatcher, or attaches the request to the job
// that the same key already has. Refusals go to `reply_to`.
EntryChanges AdmitSubmission(const EntryBoard& board,
                             const Shared<SubmitRequest>& request,
                             const ReplyTo& reply_to, const Now& now);

}  // namespace dottereltrack
