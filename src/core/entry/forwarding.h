#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Opens a call of a caller. A request that breaks a limit is refused at once.
EntryChanges HandleCallerSubmits(const EntryBoard& board,
                                 const CallerSubmits& event, const Now& now);
EntryChanges HandleCallerFetches(const CallerFetches& event, const Now& now);
EntryChanges HandleCallerCancels(const CallerCancels& event, const Now& now);
EntryChanges HandleCallerLeft(const EntryBoard& board, CallId call);

// Whether the call waits for a dispatcher that can take it now.
bool CanRoute(const EntryBoard& board, const OpenCall& call);

// Hands an open call to the dispatcher: to this entry if it is the one, else
// over the link to it.
EntryChanges RouteCall(const EntryBoard& board, const OpenCall& call,
                       const Now& now);

// After the loss of a link, or when its peer has turned requests away.
EntryChanges UnrouteCallsOn(const EntryBoard& board, LinkId link);

// After a change of the dispatcher: no dispatcher has any of the open calls.
EntryChanges UnrouteCalls(const EntryBoard& board);

// Takes the reply to a forwarded request. A reply from another link than the
// one that has the request, or to no open request, is dropped and counted.
EntryChanges HandleForwardReply(const EntryBoard& board, LinkId link,
                                const ForwardReply& reply);

// Ends calls that have waited too long for a dispatcher or for their answer.
EntryChanges ExpireCalls(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
