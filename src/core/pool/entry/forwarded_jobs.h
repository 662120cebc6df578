#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// The owner's side of forwarding; see forwarding.h for that of the first entry.

// Takes the decision on a job that a peer has forwarded: the submission to be
// handled like one of a client, or empty if the job is refused. `changes` gets
// the row of the call, or the refusal.
std::optional<JobSubmitted> AcceptForwardedJob(const EntryBoard& board,
                                               LinkId link,
                                               const ForwardJob& message,
                                               EntryChanges* changes);
// Passes the reply to a forwarded call on to the peer.
EntryChanges SendForwardedReply(const EntryBoard& board, const Reply& reply);

// Handles a peer that does not wait for a job any more that it has forwarded.
EntryChanges HandleWithdrawal(const EntryBoard& board, LinkId link,
                              const CancelJob& message, const Now& now);

// Gives up a job whose first entry does not wait for it any more, unless
// another caller does.
EntryChanges DropForwardedCall(const EntryBoard& board,
                               const ForwardedCall& call,
                               const std::string& reason, const Now& now);
// Calls over links that are closed or have been silent too long.
std::vector<ForwardedCall> CallsOfLostPeers(const EntryBoard& board,
                                            const Now& now);
}  // namespace dottereltrack::pool
