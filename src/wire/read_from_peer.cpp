#include "wire/read_messages.h"

namespace dottereltrack {
namespace {

// Estimated memory of one label name in the map of a selector.
constexpr std::size_t kSelectorLabelBytes = 128;

Selector ReadSelector(const wire::ForwardSubmit& from, DecodeContext* context) {
  Selector selector;
  if (from.selector() == nullptr) return selector;
  for (const wire::AllowedLabel* it : *from.selector()) {
    if (!context->TryReserve(1, kSelectorLabelBytes)) break;
    auto& values = selector.allowed[ReadString(it->name(), context)];
    if (it->value() == nullptr) continue;
    values.push_back(ReadString(it->value(), context));
  }
  return selector;
}

Answer ReadReply(const wire::Answer& from, DecodeContext* context) {
  return {Read(*from.id(), context), from.complete(),
          ReadString(from.failure(), context),
          ReadList(from.outcomes(), context)};
}

Refusal ReadReply(const wire::Refusal& from, DecodeContext* context) {
  Refusal refusal;
  refusal.kind = Read(from.kind(), context);
  refusal.message = ReadString(from.message(), context);
  if (const auto ground = from.not_run()) {
    refusal.not_run = Read(*ground, context);
  }
  if (const auto delay = from.retry_after_ms()) {
    refusal.retry_after = ReadMilliseconds(*delay, context);
  }
  return refusal;
}

StillOpen ReadReply(const wire::StillOpen& from, DecodeContext* context) {
  return {Read(*from.id(), context)};
}

}  // namespace

TaskSpec Read(const wire::TaskSpec& from, DecodeContext* context) {
  return {ReadBytes(from.payload(), context),
          ReadMilliseconds(from.declared_time_ms(), context),
          Read(*from.needs(), context)};
}

PeerHello Read(const wire::PeerHello& from, DecodeContext* context) {
  return {EntryId{from.entry()}, Read(*from.table(), context),
          Read(*from.config(), context)};
}

PeerHeartbeat Read(const wire::PeerHeartbeat& from, DecodeContext*) {
  return {from.generation()};
}

ForwardSubmit Read(const wire::ForwardSubmit& from, DecodeContext* context) {
  SubmitRequest request;
  request.team = ReadString(from.team(), context);
  request.key = ReadString(from.key(), context);
  request.kind = ReadString(from.kind(), context);
  request.selector = ReadSelector(from, context);
  request.deadline = ReadMilliseconds(from.deadline_ms(), context);
  request.tasks = ReadList(from.tasks(), context);
  request.body_digest = from.body_digest();
  return {from.request_id(), std::move(request)};
}

ForwardFetch Read(const wire::ForwardFetch& from, DecodeContext* context) {
  return {from.request_id(), Read(*from.submission(), context)};
}

ForwardCancel Read(const wire::ForwardCancel& from, DecodeContext* context) {
  return {from.request_id(), Read(*from.submission(), context)};
}

ForwardReply Read(const wire::ForwardReply& from, DecodeContext* context) {
  if (const auto* answer = from.reply_as_Answer()) {
    return {from.request_id(), ReadReply(*answer, context)};
  }
  if (const auto* refusal = from.reply_as_Refusal()) {
    return {from.request_id(), ReadReply(*refusal, context)};
  }
  if (const auto* open = from.reply_as_StillOpen()) {
    return {from.request_id(), ReadReply(*open, context)};
  }
  context->RecordError(
      WireErrorKind::kUnknownMessageKind,
      "the reply is of a kind that this process does not know; update "
      "it to the sender's release");
  return {};
}

}  // namespace dottereltrack
