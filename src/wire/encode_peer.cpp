#include "wire/encode.h"
#include "wire/write_values.h"

namespace dottereltrack {

flatbuffers::Offset<wire::TaskSpec> Write(FrameBuilder* builder,
                                          const TaskSpec& task) {
  const auto needs = ToWire(task.needs);
  const auto payload = WriteBytes(builder, *task.payload);
  return wire::CreateTaskSpec(*builder, payload, task.declared_time.count(),
                              &needs);
}

namespace {

auto WriteSelector(FrameBuilder* builder, const Selector& selector) {
  std::vector<flatbuffers::Offset<wire::AllowedLabel>> offsets;
  for (const auto& [name, values] : selector.allowed) {
    if (values.empty()) {
      offsets.push_back(
          wire::CreateAllowedLabel(*builder, builder->CreateString(name)));
    }
    for (const std::string& value : values) {
      const auto name_offset = builder->CreateString(name);
      const auto value_offset = builder->CreateString(value);
      offsets.push_back(
          wire::CreateAllowedLabel(*builder, name_offset, value_offset));
    }
  }
  return builder->CreateVector(offsets);
}

auto WriteReply(FrameBuilder* builder, const Answer& answer) {
  const auto id = ToWire(answer.id);
  const auto failure = builder->CreateString(answer.failure);
  const auto outcomes = WriteList(builder, answer.outcomes);
  return wire::CreateAnswer(*builder, &id, answer.complete, failure, outcomes);
}

auto WriteReply(FrameBuilder* builder, const Refusal& refusal) {
  const auto message = builder->CreateString(refusal.message);
  flatbuffers::Optional<wire::Ground> ground;
  if (refusal.not_run) ground = ToWire(*refusal.not_run);
  flatbuffers::Optional<std::int64_t> retry_after;
  if (refusal.retry_after) retry_after = refusal.retry_after->count();
  return wire::CreateRefusal(*builder, ToWire(refusal.kind), message, ground,
                             retry_after);
}

auto WriteReply(FrameBuilder* builder, const StillOpen& open) {
  const auto id = ToWire(open.id);
  return wire::CreateStillOpen(*builder, &id);
}

template <typename Body>
wire::Reply ReplyTypeOf(flatbuffers::Offset<Body>) {
  return wire::ReplyTraits<Body>::enum_value;
}

auto WriteMessage(FrameBuilder* builder, const PeerHello& message) {
  const auto table = Write(builder, message.table);
  const auto config = Write(builder, message.config);
  return wire::CreatePeerHello(*builder, message.entry.value, table, config);
}

auto WriteMessage(FrameBuilder* builder, const PeerHeartbeat& message) {
  return wire::CreatePeerHeartbeat(*builder, message.generation);
}

auto WriteMessage(FrameBuilder* builder, const ForwardSubmit& message) {
  const SubmitRequest& request = *message.request;
  const auto team = builder->CreateString(request.team);
  const auto key = builder->CreateString(request.key);
  const auto kind = builder->CreateString(request.kind);
  const auto selector = WriteSelector(builder, request.selector);
  const auto tasks = WriteList(builder, request.tasks);
  return wire::CreateForwardSubmit(*builder, message.request_id, team, key,
                                   kind, selector, request.deadline.count(),
                                   tasks, request.body_digest);
}

auto WriteMessage(FrameBuilder* builder, const ForwardFetch& message) {
  const auto id = ToWire(message.submission);
  return wire::CreateForwardFetch(*builder, message.request_id, &id);
}

auto WriteMessage(FrameBuilder* builder, const ForwardCancel& message) {
  const auto id = ToWire(message.submission);
  return wire::CreateForwardCancel(*builder, message.request_id, &id);
}

auto WriteMessage(FrameBuilder* builder, const ForwardReply& message) {
  return std::visit(
      [&](const auto& reply) {
        const auto body = WriteReply(builder, reply);
        return wire::CreateForwardReply(*builder, message.request_id,
                                        ReplyTypeOf(body), body.Union());
      },
      message.reply);
}

auto WriteMessage(FrameBuilder* builder, const TableUpdate& message) {
  return wire::CreateTableUpdate(*builder, Write(builder, message.table));
}

auto WriteMessage(FrameBuilder* builder, const ConfigUpdate& message) {
  return wire::CreateConfigUpdate(*builder, Write(builder, message.config));
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
