#pragma once

#include "wire/read_values.h"

namespace dottereltrack {

// Convert verified FlatBuffers tables to messages: from entry to agent, from
// agent to entry, and between entries.
EntryHello Read(const wire::EntryHello& from, FrameReader* reader);
FenceRequest Read(const wire::FenceRequest& from, FrameReader* reader);
Starts Read(const wire::Starts& from, FrameReader* reader);
Heartbeat Read(const wire::Heartbeat& from, FrameReader* reader);
CancelTasks Read(const wire::CancelTasks& from, FrameReader* reader);
WitnessRequest Read(const wire::WitnessRequest& from, FrameReader* reader);
LedgerCopy Read(const wire::LedgerCopy& from, FrameReader* reader);
ConfigUpdate Read(const wire::ConfigUpdate& from, FrameReader* reader);
TableUpdate Read(const wire::TableUpdate& from, FrameReader* reader);

AgentHello Read(const wire::AgentHello& from, FrameReader* reader);
Inventory Read(const wire::Inventory& from, FrameReader* reader);
Results Read(const wire::Results& from, FrameReader* reader);
HeartbeatAck Read(const wire::HeartbeatAck& from, FrameReader* reader);
WitnessAck Read(const wire::WitnessAck& from, FrameReader* reader);
LedgerCopyAck Read(const wire::LedgerCopyAck& from, FrameReader* reader);
MinionUpdate Read(const wire::MinionUpdate& from, FrameReader* reader);

PeerHello Read(const wire::PeerHello& from, FrameReader* reader);
PeerHeartbeat Read(const wire::PeerHeartbeat& from, FrameReader* reader);
ForwardSubmit Read(const wire::ForwardSubmit& from, FrameReader* reader);
ForwardFetch Read(const wire::ForwardFetch& from, FrameReader* reader);
ForwardCancel Read(const wire::ForwardCancel& from, FrameReader* reader);
ForwardReply Read(const wire::ForwardReply& from, FrameReader* reader);

// Convert the elements of lists in messages.
TaskStart Read(const wire::TaskStart& from, FrameReader* reader);
TaskResult Read(const wire::TaskResult& from, FrameReader* reader);
TaskRefused Read(const wire::TaskRefused& from, FrameReader* reader);
TaskSpec Read(const wire::TaskSpec& from, FrameReader* reader);

}  // namespace dottereltrack
