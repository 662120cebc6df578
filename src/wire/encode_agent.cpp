#include "wire/encode.h"
#include "wire/write_values.h"

namespace dottereltrack {

flatbuffers::Offset<wire::TaskResult> Write(FrameBuilder* to,
                                            const TaskResult& result) {
  const auto id = ToWire(result.id);
  const auto output = WriteBytes(to, *result.output);
  return wire::CreateTaskResult(*to, &id, ToWire(result.state), output,
                                result.run_time.count());
}

flatbuffers::Offset<wire::TaskRefused> Write(FrameBuilder* to,
                                             const TaskRefused& refused) {
  const auto id = ToWire(refused.id);
  const auto fence = ToWire(refused.fence);
  return wire::CreateTaskRefused(*to, &id, &fence, ToWire(refused.reason));
}

namespace {

auto WriteMessage(FrameBuilder* to, const AgentHello& message) {
  const auto minion = Write(to, message.minion);
  const auto config = Write(to, message.config);
  return wire::CreateAgentHello(*to, message.agent.value, message.generation,
                                minion, config);
}

auto WriteMessage(FrameBuilder* to, const Inventory& message) {
  const auto ack = ToWire(message.ack);
  const auto entries = WriteList(to, message.entries);
  const auto witnesses = WriteStructs(to, message.witnesses);
  return wire::CreateInventory(*to, &ack, entries, witnesses, message.last);
}

auto WriteMessage(FrameBuilder* to, const Results& message) {
  const auto ack = ToWire(message.ack);
  const auto results = WriteList(to, message.results);
  const auto refused = WriteList(to, message.refused);
  return wire::CreateResults(*to, &ack, results, refused);
}

auto WriteMessage(FrameBuilder* to, const HeartbeatAck& message) {
  const auto ack = ToWire(message.ack);
  return wire::CreateHeartbeatAck(*to, &ack);
}

auto WriteMessage(FrameBuilder* to, const WitnessAck& message) {
  const auto ack = ToWire(message.ack);
  const auto submissions = WriteStructs(to, message.submissions);
  return wire::CreateWitnessAck(*to, &ack, submissions);
}

auto WriteMessage(FrameBuilder* to, const LedgerCopyAck& message) {
  const auto ack = ToWire(message.ack);
  return wire::CreateLedgerCopyAck(*to, &ack, message.source.value);
}

auto WriteMessage(FrameBuilder* to, const MinionUpdate& message) {
  const auto ack = ToWire(message.ack);
  const auto minion = Write(to, message.minion);
  return wire::CreateMinionUpdate(*to, &ack, minion, message.leaving);
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
