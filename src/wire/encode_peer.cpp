#include "wire/encode.h"
#include "wire/write_values.h"

namespace dottereltrack {

flatbuffers::Offset<wire::TaskSpec> Write(FrameBuilder* to,
                                          const TaskSpec& task) {
  const auto needs = ToWire(task.needs);
  const auto payload = WriteBytes(to, *task.payload);
  return wire::CreateTaskSpec(*to, payload, task.declared_time.count(), &needs);
}

namespace {

auto WriteSelector(FrameBuilder* to, const Selector& selector) {
  std::vector<flatbuffers::Offset<wire::AllowedLabel>> offsets;
  for (const auto& [name, values] : selector.allowed) {
    if (values.empty()) {
      offsets.push_back(wire::CreateAllowedLabel(*to, to->CreateString(name)));
    }
    for (const std::string& value : values) {
      const auto name_offset = to->CreateString(name);
      const auto value_offset = to->CreateString(value);
      offsets.push_back(
          wire::CreateAllowedLabel(*to, name_offset, value_offset));
    }
  }
  return to->CreateVector(offsets);
}

auto WriteReply(FrameBuilder* to, const Answer& answer) {
  const auto id = ToWire(answer.id);
  const auto failure = to->CreateString(answer.failure);
  const auto outcomes = WriteList(to, answer.outcomes);
  return wire::CreateAnswer(*to, &id, answer.complete, failure, outcomes);
}

auto WriteReply(FrameBuilder* to, const Refusal& refusal) {
  const auto message = to->CreateString(refusal.message);
  flatbuffers::Optional<wire::Ground> ground;
  if (refusal.not_run) ground = ToWire(*refusal.not_run);
  flatbuffers::Optional<std::int64_t> retry_after;
  if (refusal.retry_after) retry_after = refusal.retry_after->count();
  return wire::CreateRefusal(*to, ToWire(refusal.kind), message, ground,
                             retry_after);
}

auto WriteReply(FrameBuilder* to, const StillOpen& open) {
  const auto id = ToWire(open.id);
  return wire::CreateStillOpen(*to, &id);
}

template <typename Body>
wire::Reply KindOf(flatbuffers::Offset<Body>) {
  return wire::ReplyTraits<Body>::enum_value;
}

auto WriteMessage(FrameBuilder* to, const PeerHello& message) {
  const auto table = Write(to, message.table);
  const auto config = Write(to, message.config);
  return wire::CreatePeerHello(*to, message.entry.value, table, config);
}

auto WriteMessage(FrameBuilder* to, const PeerHeartbeat& message) {
  return wire::CreatePeerHeartbeat(*to, message.generation);
}

auto WriteMessage(FrameBuilder* to, const ForwardSubmit& message) {
  const SubmitRequest& request = *message.request;
  const auto team = to->CreateString(request.team);
  const auto key = to->CreateString(request.key);
  const auto kind = to->CreateString(request.kind);
  const auto selector = WriteSelector(to, request.selector);
  const auto tasks = WriteList(to, request.tasks);
  return wire::CreateForwardSubmit(*to, message.request_id, team, key, kind,
                                   selector, request.deadline.count(), tasks,
                                   request.body_digest);
}

auto WriteMessage(FrameBuilder* to, const ForwardFetch& message) {
  const auto id = ToWire(message.submission);
  return wire::CreateForwardFetch(*to, message.request_id, &id);
}

auto WriteMessage(FrameBuilder* to, const ForwardCancel& message) {
  const auto id = ToWire(message.submission);
  return wire::CreateForwardCancel(*to, message.request_id, &id);
}

auto WriteMessage(FrameBuilder* to, const ForwardReply& message) {
  return std::visit(
      [&](const auto& reply) {
        const auto body = WriteReply(to, reply);
        return wire::CreateForwardReply(*to, message.request_id, KindOf(body),
                                        body.Union());
      },
      message.reply);
}

auto WriteMessage(FrameBuilder* to, const TableUpdate& message) {
  return wire::CreateTableUpdate(*to, Write(to, message.table));
}

auto WriteMessage(FrameBuilder* to, const ConfigUpdate& message) {
  return wire::CreateConfigUpdate(*to, Write(to, message.config));
}

}  // namespace

std::string Encode(const EntryToEntry& message) {
  return std::visit(
      [](const auto& it) {
        FrameBuilder builder;
        return FinishFrame(&builder, WriteMessage(&builder, it));
      },
      message);
}

}  // namespace dottereltrack
