#include "wire/encode.h"
#include "wire/write_values.h"

namespace dottereltrack {

flatbuffers::Offset<wire::TaskStart> Write(FrameBuilder* builder,
                                           const TaskStart& start) {
  const auto id = ToWire(start.id);
  const auto needs = ToWire(start.needs);
  const auto kind = builder->CreateString(start.kind);
  const auto payload = WriteBytes(builder, *start.payload);
  return wire::CreateTaskStart(*builder, &id, start.job_size, start.body_digest,
                               start.minion_instance, kind, payload, &needs,
                               start.timeout.count());
}

namespace {

auto WriteMessage(FrameBuilder* builder, const EntryHello& message) {
  const auto table = Write(builder, message.table);
  const auto config = Write(builder, message.config);
  return wire::CreateEntryHello(*builder, message.entry.value, table, config);
}

auto WriteMessage(FrameBuilder* builder, const FenceRequest& message) {
  const auto fence = ToWire(message.fence);
  return wire::CreateFenceRequest(*builder, &fence, message.seq);
}

auto WriteMessage(FrameBuilder* builder, const Starts& message) {
  const auto fence = ToWire(message.fence);
  const auto tasks = WriteList(builder, message.tasks);
  return wire::CreateStarts(*builder, &fence, message.seq, tasks);
}

auto WriteMessage(FrameBuilder* builder, const Heartbeat& message) {
  const auto fence = ToWire(message.fence);
  return wire::CreateHeartbeat(*builder, &fence, message.seq);
}

auto WriteMessage(FrameBuilder* builder, const CancelTasks& message) {
  const auto fence = ToWire(message.fence);
  const auto tasks = WriteStructs(builder, message.tasks);
  return wire::CreateCancelTasks(*builder, &fence, message.seq, tasks);
}

auto WriteMessage(FrameBuilder* builder, const WitnessRequest& message) {
  const auto fence = ToWire(message.fence);
  const auto entries = WriteStructs(builder, message.entries);
  return wire::CreateWitnessRequest(*builder, &fence, message.seq, entries);
}

auto WriteMessage(FrameBuilder* builder, const LedgerCopy& message) {
  const auto fence = ToWire(message.fence);
  const auto entries = WriteList(builder, message.entries);
  const auto witnesses = WriteStructs(builder, message.witnesses);
  return wire::CreateLedgerCopy(*builder, &fence, message.seq,
                                message.source.value, entries, witnesses);
}

auto WriteMessage(FrameBuilder* builder, const ConfigUpdate& message) {
  return wire::CreateConfigUpdate(*builder, Write(builder, message.config));
}

auto WriteMessage(FrameBuilder* builder, const TableUpdate& message) {
  return wire::CreateTableUpdate(*builder, Write(builder, message.table));
}

}  // namespace

std::string Encode(const EntryToAgent& message) {
  return std::visit(
      [](const auto& it) {
        FrameBuilder builder;
        return FinishFrame(&builder, WriteMessage(&builder, it));
      },
      message);
}

}  // namespace dottereltrack
