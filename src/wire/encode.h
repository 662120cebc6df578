#pragma once

#include <string>

#include "core/messages.h"
#include "messages_generated.h"
#include "wire/codec.h"

namespace dottereltrack {

// Wraps a serialized message in an envelope and returns the frame.
template <typename Body>
std::string FinishFrame(flatbuffers::FlatBufferBuilder* builder,
                        flatbuffers::Offset<Body> body) {
  const auto kind = wire::MessageTraits<Body>::enum_value;
  wire::FinishEnvelopeBuffer(
      *builder,
      wire::CreateEnvelope(*builder, kWireVersion, kind, body.Union()));
  return {reinterpret_cast<const char*>(builder->GetBufferPointer()),
          builder->GetSize()};
}

// Write functions for list elements, declared here so that WriteList finds
// them.
flatbuffers::Offset<wire::TaskStart> Write(
    flatbuffers::FlatBufferBuilder* builder, const TaskStart& start);
flatbuffers::Offset<wire::TaskResult> Write(
    flatbuffers::FlatBufferBuilder* builder, const TaskResult& result);
flatbuffers::Offset<wire::TaskRefused> Write(
    flatbuffers::FlatBufferBuilder* builder, const TaskRefused& refused);
flatbuffers::Offset<wire::TaskSpec> Write(
    flatbuffers::FlatBufferBuilder* builder, const TaskSpec& task);

}  // namespace dottereltrack
