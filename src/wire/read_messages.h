#pragma once

#include "wire/read_values.h"

namespace dottereltrack {

// Convert verified FlatBuffers tables to messages: from entry to agent, from
// agent to entry, and between entries.
EntryHello Read(const wire::EntryHello& from, DecodeContext* context);
FenceRequest Read(const wire::FenceRequest& from, DecodeContext* context);
Starts Read(const wire::Starts& from, DecodeContext* context);
Heartbeat Read(const wire::Heartbeat& from, DecodeContext* context);
CancelTasks Read(const wire::CancelTasks& from, DecodeContext* context);
WitnessRequest Read(const wire::WitnessRequest& from, DecodeContext* context);
LedgerCopy Read(const wire::LedgerCopy& from, DecodeContext* context);
ConfigUpdate Read(const wire::ConfigUpdate& from, DecodeContext* context);
TableUpdate Read(const wire::TableUpdate& from, DecodeContext* context);

AgentHello Read(const wire::AgentHello& from, DecodeContext* context);
Inventory Read(const wire::Inventory& from, DecodeContext* context);
Results Read(const wire::Results& from, DecodeContext* context);
HeartbeatAck Read(const wire::HeartbeatAck& from, DecodeContext* context);
WitnessAck Read(const wire::WitnessAck& from, DecodeContext* context);
LedgerCopyAck Read(const wire::LedgerCopyAck& from, DecodeContext* context);
MinionUpdate Read(const wire::MinionUpdate& from, DecodeContext* context);

PeerHello Read(const wire::PeerHello& from, DecodeContext* context);
PeerHeartbeat Read(const wire::PeerHeartbeat& from, DecodeContext* context);
ForwardSubmit Read(const wire::ForwardSubmit& from, DecodeContext* context);
ForwardFetch Read(const wire::ForwardFetch& from, DecodeContext* context);
ForwardCancel Read(const wire::ForwardCancel& from, DecodeContext* context);
ForwardReply Read(const wire::ForwardReply& from, DecodeContext* context);

// Convert the elements of lists in messages.
TaskStart Read(const wire::TaskStart& from, DecodeContext* context);
TaskResult Read(const wire::TaskResult& from, DecodeContext* context);
TaskRefused Read(const wire::TaskRefused& from, DecodeContext* context);
TaskSpec Read(const wire::TaskSpec& from, DecodeContext* context);

}  // namespace dottereltrack
