#include "core/entry/forwarding.h"

#include <algorithm>

#include "core/entry/admission.h"
#include "core/entry/cancellation.h"
#include "core/entry/replies.h"

namespace dottereltrack {
namespace {

bool DispatchesHere(const EntryBoard& board) {
  return board.authority.role != Role::kMember;
}

const PeerRow* DispatcherPeer(const EntryBoard& board) {
  const PeerRow* peer = board.peers.Find(board.stored_table.table.dispatcher);
  return peer != nullptr && !peer->links.empty() ? peer : nullptr;
}

EntryToEntry ForwardOf(const OpenCall& call, std::uint64_t request_id) {
  switch (call.kind) {
    case CallKind::kSubmit:
      return ForwardSubmit{request_id, call.request};
    case CallKind::kFetch:
      return ForwardFetch{request_id, call.submission};
    case CallKind::kCancel:
      break;
  }
  return ForwardCancel{request_id, call.submission};
}

EntryChanges Forward(const EntryBoard& board, const OpenCall& call,
                     LinkId link) {
  OpenCall next = call;
  next.forwarded_to = link;
  next.request_id = board.next_request_id;
  next.ever_routed = true;
  EntryChanges changes;
  changes.Add(Put<OpenCall>{next});
  changes.Add(AdvanceRequestId{});
  changes.Add(SendToPeer{link, ForwardOf(call, next.request_id)});
  changes.Add(Count{Counter::kForwards});
  changes.Add(Count{Counter::kMessagesToPeers});
  return changes;
}

EntryChanges ServeHere(const EntryBoard& board, const OpenCall& call,
                       const Now& now) {
  OpenCall next = call;
  // Marks the call as taken; replies of an earlier dispatcher no longer match.
  next.forwarded_to = LinkId{};
  next.request_id = 0;
  next.served_here = true;
  next.ever_routed = true;
  EntryChanges changes;
  changes.Add(Put<OpenCall>{next});
  const ReplyTo reply_to{call.id};
  switch (call.kind) {
    case CallKind::kSubmit:
      changes.Append(AdmitSubmission(board, call.request, reply_to, now));
      break;
    case CallKind::kFetch:
      changes.Append(FetchSubmission(board, call.submission, reply_to));
      break;
    case CallKind::kCancel:
      changes.Append(CancelSubmission(board, call.submission, reply_to));
      break;
  }
  return changes;
}

EntryChanges Refuse(const EntryBoard& board, const OpenCall& call,
                    Refusal refusal) {
  EntryChanges changes = SendReply(board, ReplyTo{call.id}, std::move(refusal));
  changes.Add(Erase<Waiter>{{call.submission, ReplyTo{call.id}}});
  changes.Add(Count{Counter::kRefusals});
  return changes;
}

Refusal NoDispatcher(const OpenCall& call) {
  Refusal refusal;
  refusal.kind = RefusalKind::kNoDispatcher;
  refusal.message =
      "no dispatcher has been reachable; submit again with the same key";
  refusal.retry_after = seconds{1};
  // A key that the caller brought may have been submitted elsewhere too.
  if (call.key_made_here && !call.ever_routed) {
    refusal.not_run = ProveNeverAccepted();
  }
  return refusal;
}

Refusal NoAnswer() {
  Refusal refusal;
  refusal.kind = RefusalKind::kUndecided;
  refusal.message =
      "the answer did not arrive in time; fetch the job by its id, or submit "
      "again with the same key";
  return refusal;
}

milliseconds WaitLimit(const EntrySettings& settings, const OpenCall& call) {
  if (call.kind != CallKind::kSubmit) return settings.no_dispatcher_timeout;
  return call.request->deadline + settings.answer_grace;
}

// Opens the call; Advance routes it when its row can be found on the board.
EntryChanges Open(const OpenCall& call) {
  EntryChanges changes;
  changes.Add(Put<OpenCall>{call});
  return changes;
}

}  // namespace

EntryChanges HandleCallerSubmits(const EntryBoard& board,
                                 const CallerSubmits& event, const Now& now) {
  EntryChanges changes;
  if (const auto refusal = ValidateRequest(board.settings, *event.request)) {
    changes.Add(ReplyToCaller{event.call, *refusal});
    changes.Add(Count{Counter::kRefusals});
    return changes;
  }
  OpenCall call;
  call.id = event.call;
  call.kind = CallKind::kSubmit;
  call.submission = MakeSubmissionId(event.request->team, event.request->key);
  call.request = event.request;
  call.key_made_here = event.key_made_here;
  call.opened_at = now.boot;
  return Open(call);
}

EntryChanges HandleCallerFetches(const CallerFetches& event, const Now& now) {
  OpenCall call;
  call.id = event.call;
  call.kind = CallKind::kFetch;
  call.submission = event.submission;
  call.opened_at = now.boot;
  return Open(call);
}

EntryChanges HandleCallerCancels(const CallerCancels& event, const Now& now) {
  OpenCall call;
  call.id = event.call;
  call.kind = CallKind::kCancel;
  call.submission = event.submission;
  call.opened_at = now.boot;
  return Open(call);
}

EntryChanges HandleCallerLeft(const EntryBoard& board, CallId call) {
  EntryChanges changes;
  const OpenCall* open = board.open_calls.Find(call);
  if (open == nullptr) return changes;
  changes.Add(Erase<OpenCall>{call});
  changes.Add(Erase<Waiter>{{open->submission, ReplyTo{call}}});
  return changes;
}

bool CanRoute(const EntryBoard& board, const OpenCall& call) {
  if (call.served_here || call.forwarded_to != LinkId{}) return false;
  return DispatchesHere(board) || DispatcherPeer(board) != nullptr;
}

EntryChanges RouteCall(const EntryBoard& board, const OpenCall& call,
                       const Now& now) {
  if (DispatchesHere(board)) {
    return ServeHere(board, call, now);
  }
  return Forward(board, call, *DispatcherPeer(board)->links.begin());
}

EntryChanges UnrouteCallsOn(const EntryBoard& board, LinkId link) {
  EntryChanges changes;
  for (const auto& [id, call] : board.open_calls) {
    if (call.forwarded_to != link) continue;
    OpenCall next = call;
    next.forwarded_to = LinkId{};
    next.request_id = 0;
    changes.Add(Put<OpenCall>{next});
  }
  return changes;
}

EntryChanges UnrouteCalls(const EntryBoard& board) {
  EntryChanges changes;
  for (const auto& [id, call] : board.open_calls) {
    OpenCall next = call;
    next.served_here = false;
    next.forwarded_to = LinkId{};
    next.request_id = 0;
    changes.Add(Put<OpenCall>{next});
  }
  return changes;
}

EntryChanges HandleForwardReply(const EntryBoard& board, LinkId link,
                                const ForwardReply& reply) {
  EntryChanges changes;
  for (const auto& [id, call] : board.open_calls) {
    if (call.request_id != reply.request_id || call.forwarded_to != link) {
      continue;
    }
    return SendReply(board, ReplyTo{id}, reply.reply);
  }
  changes.Add(Count{Counter::kForeignRepliesDropped});
  return changes;
}

EntryChanges ExpireCalls(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [id, call] : board.open_calls) {
    const BootTime age = now.boot - call.opened_at;
    const bool routed = call.served_here || call.forwarded_to != LinkId{};
    if (age >= WaitLimit(board.settings, call)) {
      changes.Append(Refuse(board, call, NoAnswer()));
    } else if (!routed && age >= board.settings.no_dispatcher_timeout) {
      changes.Append(Refuse(board, call, NoDispatcher(call)));
    }
  }
  return changes;
}

}  // namespace dottereltrack
