#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// Returns the issue time encoded in a UUIDv7 key, or nothing if the key is
// opaque, that is, not a UUIDv7.
std::optional<WallTime> IssueTimeFromKey(const std::string& key);

// Returns the refusal of a request whose idempotency key belongs to a job with
// a different body.
Refusal MakeKeyReusedRefusal();

// Checks everything that does not depend on the state of the cell. If the
// request violates a limit, returns a refusal that names the limit.
std::optional<Refusal> ValidateRequest(const EntrySettings& settings,
                                       const SubmitRequest& request);

// Accepts a submission at the dispatcher, or attaches the request to the
// existing job with the same key. If the submission is refused, the refusal is
// sent to `reply_to`.
EntryChanges AdmitSubmission(const EntryBoard& board,
                             const Shared<SubmitRequest>& request,
                             const ReplyTo& reply_to, const Now& now);

}  // namespace dottereltrack
