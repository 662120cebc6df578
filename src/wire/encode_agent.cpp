#include "wire/encode.h"
#include "wire/write_values.h"

namespace dottereltrack {

flatbuffers::Offset<wire::TaskResult> Write(FrameBuilder* builder,
                                            const TaskResult& result) {
  const auto id = ToWire(result.id);
  const auto output = WriteBytes(builder, *result.output);
  return wire::CreateTaskResult(*builder, &id, ToWire(result.state), output,
                                result.run_time.count());
}

flatbuffers::Offset<wire::TaskRefused> Write(FrameBuilder* builder,
                                             const TaskRefused& refused) {
  const auto id = ToWire(refused.id);
  const auto fence = ToWire(refused.fence);
  return wire::CreateTaskRefused(*builder, &id, &fence, ToWire(refused.reason));
}

namespace {

auto WriteMessage(FrameBuilder* builder, const AgentHello& message) {
  const auto minion = Write(builder, message.minion);
  const auto config = Write(builder, message.config);
  return wire::CreateAgentHello(*builder, message.agent.value,
                                message.generation, minion, config);
}

auto WriteMessage(FrameBuilder* builder, const Inventory& message) {
  const auto ack = ToWire(message.ack);
  const auto entries = WriteList(builder, message.entries);
  const auto witnesses = WriteStructs(builder, message.witnesses);
  return wire::CreateInventory(*builder, &ack, entries, witnesses,
                               message.last);
}

auto WriteMessage(FrameBuilder* builder, const Results& message) {
  const auto ack = ToWire(message.ack);
  const auto results = WriteList(builder, message.results);
  const auto refused = WriteList(builder, message.refused);
  return wire::CreateResults(*builder, &ack, results, refused);
}

auto WriteMessage(FrameBuilder* builder, const HeartbeatAck& message) {
  const auto ack = ToWire(message.ack);
  return wire::CreateHeartbeatAck(*builder, &ack);
}

auto WriteMessage(FrameBuilder* builder, const WitnessAck& message) {
  const auto ack = ToWire(message.ack);
  const auto submissions = WriteStructs(builder, message.submissions);
  return wire::CreateWitnessAck(*builder, &ack, submissions);
}

auto WriteMessage(FrameBuilder* builder, const LedgerCopyAck& message) {
  const auto ack = ToWire(message.ack);
  return wire::CreateLedgerCopyAck(*builder, &ack, message.source.value);
}

auto WriteMessage(FrameBuilder* builder, const MinionUpdate& message) {
  const auto ack = ToWire(message.ack);
  const auto minion = Write(builder, message.minion);
  return wire::CreateMinionUpdate(*builder, &ack, minion, message.leaving);
}

}  // namespace

std::string Encode(const AgentToEntry& message) {
  return std::visit(
      [](const auto& it) {
        FrameBuilder builder;
        return FinishFrame(&builder, WriteMessage(&builder, it));
      },
      message);
}

}  // namespace dottereltrack
