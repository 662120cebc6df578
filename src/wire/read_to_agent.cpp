#include "wire/read_messages.h"

namespace dottereltrack {

TaskStart Read(const wire::TaskStart& from, FrameReader* reader) {
  TaskStart start;
  start.id = Read(*from.id(), reader);
  start.job_size = from.job_size();
  start.body_digest = from.body_digest();
  start.minion_instance = from.minion_instance();
  start.kind = ReadString(from.kind(), reader);
  start.payload = ReadBytes(from.payload(), reader);
  start.needs = Read(*from.needs(), reader);
  start.timeout = ReadMilliseconds(from.timeout_ms(), reader);
  return start;
}

EntryHello Read(const wire::EntryHello& from, FrameReader* reader) {
  return {EntryId{from.entry()}, Read(*from.table(), reader),
          Read(*from.config(), reader)};
}

FenceRequest Read(const wire::FenceRequest& from, FrameReader* reader) {
  return {Read(*from.fence(), reader), from.seq()};
}

Starts Read(const wire::Starts& from, FrameReader* reader) {
  return {Read(*from.fence(), reader), from.seq(),
          ReadList(from.tasks(), reader)};
}

Heartbeat Read(const wire::Heartbeat& from, FrameReader* reader) {
  return {Read(*from.fence(), reader), from.seq()};
}

CancelTasks Read(const wire::CancelTasks& from, FrameReader* reader) {
  return {Read(*from.fence(), reader), from.seq(),
          ReadList(from.tasks(), reader)};
}

WitnessRequest Read(const wire::WitnessRequest& from, FrameReader* reader) {
  return {Read(*from.fence(), reader), from.seq(),
          ReadList(from.entries(), reader)};
}

LedgerCopy Read(const wire::LedgerCopy& from, FrameReader* reader) {
  return {Read(*from.fence(), reader), from.seq(), AgentId{from.source()},
          ReadList(from.entries(), reader), ReadList(from.witnesses(), reader)};
}

ConfigUpdate Read(const wire::ConfigUpdate& from, FrameReader* reader) {
  return {Read(*from.config(), reader)};
}

TableUpdate Read(const wire::TableUpdate& from, FrameReader* reader) {
  return {Read(*from.table(), reader)};
}

}  // namespace dottereltrack
