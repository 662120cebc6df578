#include "wire/read_messages.h"

namespace dottereltrack {

TaskStart Read(const wire::TaskStart& from, DecodeContext* context) {
  TaskStart start;
  start.id = Read(*from.id(), context);
  start.job_size = from.job_size();
  start.body_digest = from.body_digest();
  start.minion_instance = from.minion_instance();
  start.kind = ReadString(from.kind(), context);
  start.payload = ReadBytes(from.payload(), context);
  start.needs = Read(*from.needs(), context);
  start.timeout = ReadMilliseconds(from.timeout_ms(), context);
  return start;
}

EntryHello Read(const wire::EntryHello& from, DecodeContext* context) {
  return {EntryId{from.entry()}, Read(*from.table(), context),
          Read(*from.config(), context)};
}

FenceRequest Read(const wire::FenceRequest& from, DecodeContext* context) {
  return {Read(*from.fence(), context), from.seq()};
}

Starts Read(const wire::Starts& from, DecodeContext* context) {
  return {Read(*from.fence(), context), from.seq(),
          ReadList(from.tasks(), context)};
}

Heartbeat Read(const wire::Heartbeat& from, DecodeContext* context) {
  return {Read(*from.fence(), context), from.seq()};
}

CancelTasks Read(const wire::CancelTasks& from, DecodeContext* context) {
  return {Read(*from.fence(), context), from.seq(),
          ReadList(from.tasks(), context)};
}

WitnessRequest Read(const wire::WitnessRequest& from, DecodeContext* context) {
  return {Read(*from.fence(), context), from.seq(),
          ReadList(from.entries(), context)};
}

LedgerCopy Read(const wire::LedgerCopy& from, DecodeContext* context) {
  return {Read(*from.fence(), context), from.seq(), AgentId{from.source()},
          ReadList(from.entries(), context),
          ReadList(from.witnesses(), context)};
}

ConfigUpdate Read(const wire::ConfigUpdate& from, DecodeContext* context) {
  return {Read(*from.config(), context)};
}

TableUpdate Read(const wire::TableUpdate& from, DecodeContext* context) {
  return {Read(*from.table(), context)};
}

}  // namespace dottereltrack
