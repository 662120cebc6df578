#include "wire/encode.h"
#include "wire/write_values.h"

namespace dottereltrack {

flatbuffers::Offset<wire::TaskStart> Write(FrameBuilder* to,
                                           const TaskStart& start) {
  const auto id = ToWire(start.id);
  const auto needs = ToWire(start.needs);
  const auto kind = to->CreateString(start.kind);
  const auto payload = WriteBytes(to, *start.payload);
  return wire::CreateTaskStart(*to, &id, start.job_size, start.body_digest,
                               start.minion_instance, kind, payload, &needs,
                               start.timeout.count());
}

namespace {

auto WriteMessage(FrameBuilder* to, const EntryHello& message) {
  const auto table = Write(to, message.table);
  const auto config = Write(to, message.config);
  return wire::CreateEntryHello(*to, message.entry.value, table, config);
}

auto WriteMessage(FrameBuilder* to, const FenceRequest& message) {
  const auto fence = ToWire(message.fence);
  return wire::CreateFenceRequest(*to, &fence, message.seq);
}

auto WriteMessage(FrameBuilder* to, const Starts& message) {
  const auto fence = ToWire(message.fence);
  const auto tasks = WriteList(to, message.tasks);
  return wire::CreateStarts(*to, &fence, message.seq, tasks);
}

auto WriteMessage(FrameBuilder* to, const Heartbeat& message) {
  const auto fence = ToWire(message.fence);
  return wire::CreateHeartbeat(*to, &fence, message.seq);
}

auto WriteMessage(FrameBuilder* to, const CancelTasks& message) {
  const auto fence = ToWire(message.fence);
  const auto tasks = WriteStructs(to, message.tasks);
  return wire::CreateCancelTasks(*to, &fence, message.seq, tasks);
}

auto WriteMessage(FrameBuilder* to, const WitnessRequest& message) {
  const auto fence = ToWire(message.fence);
  const auto entries = WriteStructs(to, message.entries);
  return wire::CreateWitnessRequest(*to, &fence, message.seq, entries);
}

auto WriteMessage(FrameBuilder* to, const LedgerCopy& message) {
  const auto fence = ToWire(message.fence);
  const auto entries = WriteList(to, message.entries);
  const auto witnesses = WriteStructs(to, message.witnesses);
  return wire::CreateLedgerCopy(*to, &fence, message.seq, message.source.value,
                                entries, witnesses);
}

auto WriteMessage(FrameBuilder* to, const ConfigUpdate& message) {
  return wire::CreateConfigUpdate(*to, Write(to, message.config));
}

auto WriteMessage(FrameBuilder* to, const TableUpdate& message) {
  return wire::CreateTableUpdate(*to, Write(to, message.table));
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
