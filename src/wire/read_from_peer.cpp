#include "wire/read_messages.h"

namespace dottereltrack {
namespace {

// Estimated memory of one label name in the map of a selector.
constexpr std::size_t kSelectorRowBytes = 128;

Selector ReadSelector(const wire::ForwardSubmit& from, FrameReader* reader) {
  Selector selector;
  if (from.selector() == nullptr) return selector;
  for (const wire::AllowedLabel* it : *from.selector()) {
    if (!reader->Charge(1, kSelectorRowBytes)) break;
    auto& values = selector.allowed[ReadString(it->name(), reader)];
    if (it->value() == nullptr) continue;
    values.push_back(ReadString(it->value(), reader));
  }
  return selector;
}

Answer ReadReply(const wire::Answer& from, FrameReader* reader) {
  return {Read(*from.id(), reader), from.complete(),
          ReadString(from.failure(), reader),
          ReadList(from.outcomes(), reader)};
}

Refusal ReadReply(const wire::Refusal& from, FrameReader* reader) {
  Refusal refusal;
  refusal.kind = Read(from.kind(), reader);
  refusal.message = ReadString(from.message(), reader);
  if (const auto ground = from.not_run()) {
    refusal.not_run = Read(*ground, reader);
  }
  if (const auto delay = from.retry_after_ms()) {
    refusal.retry_after = ReadMilliseconds(*delay, reader);
  }
  return refusal;
}

StillOpen ReadReply(const wire::StillOpen& from, FrameReader* reader) {
  return {Read(*from.id(), reader)};
}

}  // namespace

TaskSpec Read(const wire::TaskSpec& from, FrameReader* reader) {
  return {ReadBytes(from.payload(), reader),
          ReadMilliseconds(from.declared_time_ms(), reader),
          Read(*from.needs(), reader)};
}

PeerHello Read(const wire::PeerHello& from, FrameReader* reader) {
  return {EntryId{from.entry()}, Read(*from.table(), reader),
          Read(*from.config(), reader)};
}

PeerHeartbeat Read(const wire::PeerHeartbeat& from, FrameReader*) {
  return {from.generation()};
}

ForwardSubmit Read(const wire::ForwardSubmit& from, FrameReader* reader) {
  SubmitRequest request;
  request.team = ReadString(from.team(), reader);
  request.key = ReadString(from.key(), reader);
  request.kind = ReadString(from.kind(), reader);
  request.selector = ReadSelector(from, reader);
  request.deadline = ReadMilliseconds(from.deadline_ms(), reader);
  request.tasks = ReadList(from.tasks(), reader);
  request.body_digest = from.body_digest();
  return {from.request_id(), std::move(request)};
}

ForwardFetch Read(const wire::ForwardFetch& from, FrameReader* reader) {
  return {from.request_id(), Read(*from.submission(), reader)};
}

ForwardCancel Read(const wire::ForwardCancel& from, FrameReader* reader) {
  return {from.request_id(), Read(*from.submission(), reader)};
}

ForwardReply Read(const wire::ForwardReply& from, FrameReader* reader) {
  if (const auto* answer = from.reply_as_Answer()) {
    return {from.request_id(), ReadReply(*answer, reader)};
  }
  if (const auto* refusal = from.reply_as_Refusal()) {
    return {from.request_id(), ReadReply(*refusal, reader)};
  }
  if (const auto* open = from.reply_as_StillOpen()) {
    return {from.request_id(), ReadReply(*open, reader)};
  }
  reader->Fail(WireErrorKind::kUnknownKind,
               "the reply is of a kind that this process does not know; update "
               "it to the sender's release");
  return {};
}

}  // namespace dottereltrack
