#include "wire/read_messages.h"

namespace dottereltrack {

TaskResult Read(const wire::TaskResult& from, DecodeContext* context) {
  return {Read(*from.id(), context), Read(from.state(), context),
          ReadBytes(from.output(), context),
          ReadMicroseconds(from.run_time_us(), context)};
}

TaskRefused Read(const wire::TaskRefused& from, DecodeContext* context) {
  return {Read(*from.id(), context), Read(*from.fence(), context),
          Read(from.reason(), context)};
}

AgentHello Read(const wire::AgentHello& from, DecodeContext* context) {
  return {AgentId{from.agent()}, from.generation(),
          Read(*from.minion(), context), Read(*from.config(), context)};
}

Inventory Read(const wire::Inventory& from, DecodeContext* context) {
  return {Read(*from.ack(), context), ReadList(from.entries(), context),
          ReadList(from.witnesses(), context), from.last()};
}

Results Read(const wire::Results& from, DecodeContext* context) {
  return {Read(*from.ack(), context), ReadList(from.results(), context),
          ReadList(from.refused(), context)};
}

HeartbeatAck Read(const wire::HeartbeatAck& from, DecodeContext* context) {
  return {Read(*from.ack(), context)};
}

WitnessAck Read(const wire::WitnessAck& from, DecodeContext* context) {
  return {Read(*from.ack(), context), ReadList(from.submissions(), context)};
}

LedgerCopyAck Read(const wire::LedgerCopyAck& from, DecodeContext* context) {
  return {Read(*from.ack(), context), AgentId{from.source()}};
}

MinionUpdate Read(const wire::MinionUpdate& from, DecodeContext* context) {
  return {Read(*from.ack(), context), Read(*from.minion(), context),
          from.leaving()};
}

}  // namespace dottereltrack
