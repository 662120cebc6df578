#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Opens a call for a caller's request. A request that violates a limit is
// refused immediately.
EntryChanges HandleCallerSubmits(const EntryBoard& board,
                                 const CallerSubmits& event, const Now& now);
EntryChanges HandleCallerFetches(const CallerFetches& event, const Now& now);
EntryChanges HandleCallerCancels(const CallerCancels& event, const Now& now);
EntryChanges HandleCallerLeft(const EntryBoard& board, CallId call);

// Whether the call has not been routed and a dispatcher, here or at a connected
// peer, can take it now.
bool CanRoute(const EntryBoard& board, const OpenCall& call);

// Routes an open call to the dispatcher: locally if this entry is the
// dispatcher, otherwise over the link to it.
EntryChanges RouteCall(const EntryBoard& board, const OpenCall& call,
                       const Now& now);

// Resets the routing of all calls that were forwarded on the link. Used after
// the link is lost or its peer has rejected requests.
EntryChanges UnrouteCallsOnLink(const EntryBoard& board, LinkId link);

// Resets the routing of all open calls. Used after a change of dispatcher,
// because the new dispatcher has received none of them.
EntryChanges UnrouteCalls(const EntryBoard& board);

// Handles the reply to a forwarded request. A reply that arrives on another
// link than the one the request was forwarded on, or that matches no open
// request, is dropped and counted.
EntryChanges HandleForwardReply(const EntryBoard& board, LinkId link,
                                const ForwardReply& reply);

// Refuses calls that have waited too long for a dispatcher or for their answer.
EntryChanges ExpireCalls(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
