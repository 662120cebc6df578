#include "pool_wire/codec.h"

#include <utility>

#include "pool_generated.h"

namespace dottereltrack::pool {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

// Maximum number of tables that the verifier visits. It bounds the decoded size
// of a malicious frame. Valid frames stay far below it: their longest list
// holds the entries known to one entry.
constexpr flatbuffers::uoffset_t kMaxTables = 10'000;
constexpr flatbuffers::uoffset_t kMaxDepth = 8;

wire::RunKey ToWire(const RunKey& run) {
  return {run.task.job, run.task.step, run.task.index, run.number};
}

RunKey FromWire(const wire::RunKey& run) {
  return {{run.job(), run.step(), run.index()}, run.number()};
}

wire::TaskKey ToWire(const TaskKey& task) {
  return {task.job, task.step, task.index};
}

TaskKey FromWire(const wire::TaskKey& task) {
  return {task.job(), task.step(), task.index()};
}

wire::Resources ToWire(const Resources& it) {
  return {it.cpu_millis, it.memory_mb, it.accelerators};
}

Resources FromWire(const wire::Resources& it) {
  return {it.cpu_millis(), it.memory_mb(), it.accelerators()};
}

std::string FromWire(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

using EndpointVector = flatbuffers::Vector<flatbuffers::Offset<wire::Endpoint>>;

flatbuffers::Offset<EndpointVector> WriteEndpoints(
    Builder* builder, const std::vector<Endpoint>& endpoints) {
  std::vector<flatbuffers::Offset<wire::Endpoint>> offsets;
  offsets.reserve(endpoints.size());
  for (const Endpoint& it : endpoints) {
    offsets.push_back(wire::CreateEndpoint(
        *builder, builder->CreateString(it.host), it.port));
  }
  return builder->CreateVector(offsets);
}

std::vector<Endpoint> FromWire(const EndpointVector* offsets) {
  std::vector<Endpoint> endpoints;
  if (offsets == nullptr) return endpoints;
  endpoints.reserve(offsets->size());
  for (const wire::Endpoint* it : *offsets) {
    endpoints.push_back({it->host()->str(), it->port()});
  }
  return endpoints;
}

using TaskVector = flatbuffers::Vector<const wire::TaskKey*>;

flatbuffers::Offset<TaskVector> WriteTasks(Builder* builder,
                                           const std::vector<TaskKey>& tasks) {
  std::vector<wire::TaskKey> rows;
  rows.reserve(tasks.size());
  for (const TaskKey& task : tasks) rows.push_back(ToWire(task));
  return builder->CreateVectorOfStructs(rows);
}

std::vector<TaskKey> FromWire(const TaskVector* rows) {
  std::vector<TaskKey> tasks;
  if (rows == nullptr) return tasks;
  tasks.reserve(rows->size());
  for (const wire::TaskKey* task : *rows) tasks.push_back(FromWire(*task));
  return tasks;
}

using CrashReportVector =
    flatbuffers::Vector<flatbuffers::Offset<wire::CrashReport>>;

flatbuffers::Offset<CrashReportVector> WriteCrashReports(
    Builder* builder, const std::vector<CrashReport>& reports) {
  std::vector<flatbuffers::Offset<wire::CrashReport>> offsets;
  offsets.reserve(reports.size());
  for (const CrashReport& it : reports) {
    const auto minion = builder->CreateString(it.minion.id);
    const auto suspects = WriteTasks(builder, it.suspects.certain);
    const auto possible = WriteTasks(builder, it.suspects.possible);
    offsets.push_back(wire::CreateCrashReport(*builder, minion,
                                              it.minion.started_ms, suspects,
                                              it.age.count(), possible));
  }
  return builder->CreateVector(offsets);
}

std::vector<CrashReport> FromWire(const CrashReportVector* offsets) {
  std::vector<CrashReport> reports;
  if (offsets == nullptr) return reports;
  reports.reserve(offsets->size());
  for (const wire::CrashReport* it : *offsets) {
    reports.push_back(
        {{FromWire(it->minion()), it->started_ms()},
         {FromWire(it->suspects()), FromWire(it->possible_suspects())},
         milliseconds{it->age_ms()}});
  }
  return reports;
}

using TextVector =
    flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::vector<std::string> FromWire(const TextVector* rows) {
  std::vector<std::string> texts;
  if (rows == nullptr) return texts;
  texts.reserve(rows->size());
  for (const flatbuffers::String* it : *rows) texts.push_back(it->str());
  return texts;
}

using StepVector = flatbuffers::Vector<flatbuffers::Offset<wire::StepSpec>>;

flatbuffers::Offset<StepVector> WriteSteps(Builder* builder,
                                           const std::vector<StepSpec>& steps) {
  std::vector<flatbuffers::Offset<wire::StepSpec>> offsets;
  offsets.reserve(steps.size());
  for (const StepSpec& it : steps) {
    const auto needs = ToWire(it.needs);
    offsets.push_back(
        wire::CreateStepSpec(*builder, it.count, &needs, it.estimate.count()));
  }
  return builder->CreateVector(offsets);
}

std::vector<StepSpec> FromWire(const StepVector* offsets) {
  std::vector<StepSpec> steps;
  if (offsets == nullptr) return steps;
  steps.reserve(offsets->size());
  for (const wire::StepSpec* it : *offsets) {
    steps.push_back(
        {it->count(), FromWire(*it->needs()), milliseconds{it->estimate_ms()}});
  }
  return steps;
}

// Union type and offset of a serialized message body.
struct Body {
  wire::Body kind;
  flatbuffers::Offset<void> offset;
};

Body Write(Builder* builder, const EntryHello& it) {
  const auto known = WriteEndpoints(builder, it.known_entries);
  const auto crashes = WriteCrashReports(builder, it.crashes);
  return {
      wire::Body::EntryHello,
      wire::CreateEntryHello(*builder, it.entry, known, crashes,
                             it.report_interval.count(), it.wants_accepted_jobs)
          .Union()};
}

Body Write(Builder* builder, const StartRun& it) {
  const auto payload = builder->CreateString(*it.payload);
  const auto run = ToWire(it.run);
  const auto needs = ToWire(it.needs);
  const auto required_label = builder->CreateString(it.required_label);
  return {
      wire::Body::StartRun,
      wire::CreateStartRun(*builder, it.sequence, &run, payload, &needs,
                           it.estimate.count(), it.is_suspect, required_label)
          .Union()};
}

Body Write(Builder* builder, const StopRun& it) {
  const auto run = ToWire(it.run);
  return {wire::Body::StopRun,
          wire::CreateStopRun(*builder, &run, it.withholds_lease).Union()};
}

Body Write(Builder* builder, const Ping&) {
  return {wire::Body::Ping, wire::CreatePing(*builder).Union()};
}

Body Write(Builder* builder, const ConfigOffer& it) {
  const auto text = builder->CreateString(*it.text);
  return {wire::Body::ConfigOffer,
          wire::CreateConfigOffer(*builder, it.version, text).Union()};
}

Body Write(Builder* builder, const KnownEntries& it) {
  const auto entries = WriteEndpoints(builder, it.entries);
  return {wire::Body::KnownEntries,
          wire::CreateKnownEntries(*builder, entries).Union()};
}

Body Write(Builder* builder, const AgentHello& it) {
  const auto minion = builder->CreateString(it.minion);
  const auto service = builder->CreateString(it.service);
  const auto data_centre = builder->CreateString(it.data_centre);
  const auto rack = builder->CreateString(it.rack);
  const auto capacity = ToWire(it.capacity);
  const auto crashes = WriteCrashReports(builder, it.crashes);
  const auto labels = builder->CreateVectorOfStrings(it.labels);
  return {wire::Body::AgentHello,
          wire::CreateAgentHello(*builder, it.agent, minion, service,
                                 data_centre, rack, &capacity, crashes, labels)
              .Union()};
}

Body Write(Builder* builder, const LoadReport& it) {
  const auto free = ToWire(it.free);
  return {wire::Body::LoadReport,
          wire::CreateLoadReport(*builder, it.handled_starts, &free,
                                 it.accepting, it.settled, it.log_slowness,
                                 it.has_suspect, it.misses_starts)
              .Union()};
}

Body Write(Builder* builder, const StartRefused& it) {
  const auto run = ToWire(it.run);
  return {wire::Body::StartRefused,
          wire::CreateStartRefused(*builder, &run,
                                   static_cast<wire::StartRefusal>(it.refusal))
              .Union()};
}

Body Write(Builder* builder, const RunEnded& it) {
  const auto run = ToWire(it.run);
  return {
      wire::Body::RunEnded,
      wire::CreateRunEnded(*builder, &run, static_cast<wire::RunEnd>(it.end),
                           it.duration.count())
          .Union()};
}

Body Write(Builder* builder, const EvacuationList& it) {
  std::vector<flatbuffers::Offset<wire::Evacuation>> offsets;
  offsets.reserve(it.evacuations.size());
  for (const Evacuation& row : it.evacuations) {
    const auto data_centre = builder->CreateString(row.data_centre);
    offsets.push_back(wire::CreateEvacuation(*builder, data_centre,
                                             row.revision, row.is_active));
  }
  const auto evacuations = builder->CreateVector(offsets);
  return {wire::Body::EvacuationList,
          wire::CreateEvacuationList(*builder, evacuations).Union()};
}

Body Write(Builder* builder, const ConfigAnnouncement& it) {
  return {wire::Body::ConfigAnnouncement,
          wire::CreateConfigAnnouncement(*builder, it.version, it.size_bytes,
                                         it.link_mbps)
              .Union()};
}

Body Write(Builder* builder, const ConfigRequest& it) {
  return {wire::Body::ConfigRequest,
          wire::CreateConfigRequest(*builder, it.version).Union()};
}

Body Write(Builder* builder, const EntryLoad& it) {
  std::vector<flatbuffers::Offset<wire::ServiceBacklog>> offsets;
  offsets.reserve(it.backlogs.size());
  for (const ServiceBacklog& row : it.backlogs) {
    const auto service = builder->CreateString(row.service);
    offsets.push_back(wire::CreateServiceBacklog(
        *builder, service, row.waiting_core_ms, row.expected_delay.count()));
  }
  const auto backlogs = builder->CreateVector(offsets);
  const auto data_centre = builder->CreateString(it.data_centre);
  return {wire::Body::EntryLoad,
          wire::CreateEntryLoad(*builder, it.busy_permille, it.offered_jobs,
                                backlogs, it.handled_jobs, it.is_overloaded,
                                data_centre)
              .Union()};
}

Body Write(Builder* builder, const ForwardJob& it) {
  const auto payload = builder->CreateString(*it.job.payload);
  const auto steps = WriteSteps(builder, it.job.steps);
  const auto request_id = builder->CreateString(it.request_id);
  const auto host = builder->CreateString(it.host);
  const auto path = builder->CreateString(it.path);
  return {wire::Body::ForwardJob,
          wire::CreateForwardJob(*builder, it.job.id, payload, steps,
                                 request_id, host, path, it.config_version,
                                 it.age.count(), it.client_timeout.count())
              .Union()};
}

Body Write(Builder* builder, const ForwardedJobEnded& it) {
  return {wire::Body::ForwardedJobEnded,
          wire::CreateForwardedJobEnded(
              *builder, it.job, static_cast<wire::ForwardedOutcome>(it.outcome),
              it.retry_after.count())
              .Union()};
}

Body Write(Builder* builder, const CancelJob& it) {
  return {
      wire::Body::CancelJob,
      wire::CreateCancelJob(*builder, it.request, it.job, it.is_final).Union()};
}

Body Write(Builder* builder, const JobCancelled& it) {
  return {wire::Body::JobCancelled,
          wire::CreateJobCancelled(*builder, it.request, it.job, it.was_known)
              .Union()};
}

Body Write(Builder* builder, const AcceptedJobs& it) {
  const auto digests = builder->CreateVector(it.digests);
  return {wire::Body::AcceptedJobs,
          wire::CreateAcceptedJobs(*builder, digests).Union()};
}

Body Write(Builder* builder, const FollowJob& it) {
  const auto address = wire::CreateEndpoint(
      *builder, builder->CreateString(it.address.host), it.address.port);
  return {wire::Body::FollowJob,
          wire::CreateFollowJob(*builder, it.job, address,
                                it.client_timeout.count())
              .Union()};
}

Message Read(const wire::EntryHello& it) {
  return EntryHello{
      it.entry(), FromWire(it.known_entries()), FromWire(it.crashes()),
      milliseconds{it.report_interval_ms()}, it.wants_accepted_jobs()};
}

Message Read(const wire::StartRun& it) {
  return StartRun{it.sequence(),
                  FromWire(*it.run()),
                  FromWire(it.payload()),
                  FromWire(*it.needs()),
                  milliseconds{it.estimate_ms()},
                  it.is_suspect(),
                  FromWire(it.required_label())};
}

Message Read(const wire::StopRun& it) {
  return StopRun{FromWire(*it.run()), it.withholds_lease()};
}

Message Read(const wire::Ping&) { return Ping{}; }

Message Read(const wire::ConfigOffer& it) {
  return ConfigOffer{it.version(), FromWire(it.text())};
}

Message Read(const wire::KnownEntries& it) {
  return KnownEntries{FromWire(it.entries())};
}

Message Read(const wire::AgentHello& it) {
  return AgentHello{it.agent(),
                    FromWire(it.minion()),
                    FromWire(it.service()),
                    FromWire(it.data_centre()),
                    FromWire(it.rack()),
                    FromWire(*it.capacity()),
                    FromWire(it.crashes()),
                    FromWire(it.labels())};
}

Message Read(const wire::LoadReport& it) {
  return LoadReport{it.handled_starts(), FromWire(*it.free()), it.accepting(),
                    it.settled(),        it.log_slowness(),    it.has_suspect(),
                    it.misses_starts()};
}

Message Read(const wire::StartRefused& it) {
  return StartRefused{FromWire(*it.run()),
                      static_cast<StartRefusal>(it.refusal())};
}

Message Read(const wire::RunEnded& it) {
  return RunEnded{FromWire(*it.run()), static_cast<RunEnd>(it.end()),
                  milliseconds{it.duration_ms()}};
}

Message Read(const wire::EvacuationList& it) {
  EvacuationList list;
  if (it.evacuations() == nullptr) return list;
  for (const wire::Evacuation* row : *it.evacuations()) {
    list.evacuations.push_back(
        {FromWire(row->data_centre()), row->revision(), row->is_active()});
  }
  return list;
}

Message Read(const wire::ConfigAnnouncement& it) {
  return ConfigAnnouncement{it.version(), it.size_bytes(), it.link_mbps()};
}

Message Read(const wire::ConfigRequest& it) {
  return ConfigRequest{it.version()};
}

Message Read(const wire::EntryLoad& it) {
  EntryLoad load{
      it.busy_permille(), it.offered_jobs(),  {},
      it.handled_jobs(),  it.is_overloaded(), FromWire(it.data_centre())};
  if (it.backlogs() == nullptr) return load;
  for (const wire::ServiceBacklog* row : *it.backlogs()) {
    load.backlogs.push_back({FromWire(row->service()), row->waiting_core_ms(),
                             milliseconds{row->expected_delay_ms()}});
  }
  return load;
}

Message Read(const wire::ForwardJob& it) {
  ForwardJob forwarded;
  forwarded.job.id = it.job();
  forwarded.job.payload = FromWire(it.payload());
  forwarded.job.steps = FromWire(it.steps());
  forwarded.request_id = FromWire(it.request_id());
  forwarded.host = FromWire(it.host());
  forwarded.path = FromWire(it.path());
  forwarded.config_version = it.config_version();
  forwarded.age = milliseconds{it.age_ms()};
  forwarded.client_timeout = milliseconds{it.client_timeout_ms()};
  return forwarded;
}

Message Read(const wire::ForwardedJobEnded& it) {
  return ForwardedJobEnded{it.job(),
                           static_cast<ForwardedOutcome>(it.outcome()),
                           milliseconds{it.retry_after_ms()}};
}

Message Read(const wire::CancelJob& it) {
  return CancelJob{it.request(), it.job(), it.is_final()};
}

Message Read(const wire::JobCancelled& it) {
  return JobCancelled{it.request(), it.job(), it.was_known()};
}

Message Read(const wire::AcceptedJobs& it) {
  AcceptedJobs accepted;
  if (const auto* digests = it.digests()) {
    accepted.digests.assign(digests->begin(), digests->end());
  }
  return accepted;
}

Message Read(const wire::FollowJob& it) {
  FollowJob follow{it.job(), {}, milliseconds{it.client_timeout_ms()}};
  if (const auto* address = it.address()) {
    follow.address = {address->host()->str(), address->port()};
  }
  return follow;
}

// Returns false if an enum value is unknown to this release, which means that
// the sender runs a newer one.
bool HasKnownEnums(const wire::Frame& frame) {
  if (const auto* it = frame.body_as_StartRefused()) {
    return it->refusal() <= wire::StartRefusal::MAX;
  }
  if (const auto* it = frame.body_as_RunEnded()) {
    return it->end() <= wire::RunEnd::MAX;
  }
  if (const auto* it = frame.body_as_ForwardedJobEnded()) {
    return it->outcome() <= wire::ForwardedOutcome::MAX;
  }
  return true;
}

FrameError UnknownFrame() {
  return {
      "the frame is of a kind that this release does not know; run one "
      "release on all machines"};
}

}  // namespace

std::string EncodeFrame(const Message& message) {
  Builder builder;
  const Body body =
      std::visit([&](const auto& it) { return Write(&builder, it); }, message);
  builder.Finish(wire::CreateFrame(builder, body.kind, body.offset));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

FrameResult DecodeFrame(std::string_view bytes) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
      kMaxDepth, kMaxTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return FrameError{
        "the frame is malformed; check what connects to the "
        "internal port"};
  }
  const wire::Frame& frame = *wire::GetFrame(bytes.data());
  // The verifier accepts a union that has a type but no value.
  if (frame.body() == nullptr) return UnknownFrame();
  if (!HasKnownEnums(frame)) return UnknownFrame();
  switch (frame.body_type()) {
    case wire::Body::EntryHello:
      return Read(*frame.body_as_EntryHello());
    case wire::Body::StartRun:
      return Read(*frame.body_as_StartRun());
    case wire::Body::StopRun:
      return Read(*frame.body_as_StopRun());
    case wire::Body::Ping:
      return Read(*frame.body_as_Ping());
    case wire::Body::ConfigOffer:
      return Read(*frame.body_as_ConfigOffer());
    case wire::Body::KnownEntries:
      return Read(*frame.body_as_KnownEntries());
    case wire::Body::AgentHello:
      return Read(*frame.body_as_AgentHello());
    case wire::Body::LoadReport:
      return Read(*frame.body_as_LoadReport());
    case wire::Body::StartRefused:
      return Read(*frame.body_as_StartRefused());
    case wire::Body::RunEnded:
      return Read(*frame.body_as_RunEnded());
    case wire::Body::EvacuationList:
      return Read(*frame.body_as_EvacuationList());
    case wire::Body::ConfigAnnouncement:
      return Read(*frame.body_as_ConfigAnnouncement());
    case wire::Body::ConfigRequest:
      return Read(*frame.body_as_ConfigRequest());
    case wire::Body::EntryLoad:
      return Read(*frame.body_as_EntryLoad());
    case wire::Body::ForwardJob:
      return Read(*frame.body_as_ForwardJob());
    case wire::Body::ForwardedJobEnded:
      return Read(*frame.body_as_ForwardedJobEnded());
    case wire::Body::CancelJob:
      return Read(*frame.body_as_CancelJob());
    case wire::Body::JobCancelled:
      return Read(*frame.body_as_JobCancelled());
    case wire::Body::AcceptedJobs:
      return Read(*frame.body_as_AcceptedJobs());
    case wire::Body::FollowJob:
      return Read(*frame.body_as_FollowJob());
    case wire::Body::NONE:
      break;
  }
  return UnknownFrame();
}

}  // namespace dottereltrack::pool
