#include "wire/read_messages.h"

namespace dottereltrack {

TaskResult Read(const wire::TaskResult& from, FrameReader* reader) {
  return {Read(*from.id(), reader), Read(from.state(), reader),
          ReadBytes(from.output(), reader),
          ReadMicroseconds(from.run_time_us(), reader)};
}

TaskRefused Read(const wire::TaskRefused& from, FrameReader* reader) {
  return {Read(*from.id(), reader), Read(*from.fence(), reader),
          Read(from.reason(), reader)};
}

AgentHello Read(const wire::AgentHello& from, FrameReader* reader) {
  return {AgentId{from.agent()}, from.generation(),
          Read(*from.minion(), reader), Read(*from.config(), reader)};
}

Inventory Read(const wire::Inventory& from, FrameReader* reader) {
  return {Read(*from.ack(), reader), ReadList(from.entries(), reader),
          ReadList(from.witnesses(), reader), from.last()};
}

Results Read(const wire::Results& from, FrameReader* reader) {
  return {Read(*from.ack(), reader), ReadList(from.results(), reader),
          ReadList(from.refused(), reader)};
}

HeartbeatAck Read(const wire::HeartbeatAck& from, FrameReader* reader) {
  return {Read(*from.ack(), reader)};
}

WitnessAck Read(const wire::WitnessAck& from, FrameReader* reader) {
  return {Read(*from.ack(), reader), ReadList(from.submissions(), reader)};
}

LedgerCopyAck Read(const wire::LedgerCopyAck& from, FrameReader* reader) {
  return {Read(*from.ack(), reader), AgentId{from.source()}};
}

MinionUpdate Read(const wire::MinionUpdate& from, FrameReader* reader) {
  return {Read(*from.ack(), reader), Read(*from.minion(), reader),
          from.leaving()};
}

}  // namespace dottereltrack
