#include "apps/pool_entry/pool_entry.h"

#include <asio/post.hpp>
#include <csignal>
#include <utility>

#include "apps/pool_common/reception.h"
#include "apps/pool_entry/state_dump.h"
#include "core/pool/entry/accepted_jobs.h"
#include "core/pool/entry/accepted_memory.h"
#include "core/pool/entry/entry_load.h"
#include "core/pool/entry/unstarted_tasks.h"
#include "core/pool/pause.h"
#include "platform/config.h"
#include "platform/evacuation.h"
#include "pool_wire/codec.h"
#include "runtime/clock.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {
namespace {

using users_platform::ClientCall;
using users_platform::ClientCallKind;

constexpr milliseconds kTickInterval{25};

// A configuration must take effect within 2 s of its write, an evacuation
// within 5 s. A watch whose connection was lost without a reset is detected
// after its wait plus the store's timeout.
constexpr milliseconds kOperatorWatchWait{800};
constexpr milliseconds kOperatorWatchRetryDelay{200};
// The set of entries changes rarely, and entries also learn of each other from
// agents.
constexpr milliseconds kEntryWatchWait{10'000};
constexpr milliseconds kEntryWatchRetryDelay{500};

// Applies to clients that do not send a deadline.
constexpr milliseconds kDefaultClientTimeout{5'000};

// Time to send queued responses and messages before the process exits.
constexpr milliseconds kExitFlushDelay{100};

std::vector<Gauge> MakeGauges(const EntryBoard& board,
                              const std::chrono::microseconds& parse_time) {
  return {
      {"dottereltrack_entry_config_bytes",
       "Size of the text of the configuration in force",
       [&board] { return static_cast<double>(board.config_text->size()); }},
      {"dottereltrack_entry_config_parse_seconds",
       "Time for parsing the last configuration",
       [&parse_time] {
         return std::chrono::duration<double>(parse_time).count();
       }},
      {"dottereltrack_entry_open_jobs", "Accepted jobs without an answer",
       [&board] { return static_cast<double>(board.active_jobs.size()); }},
      {"dottereltrack_entry_waiting_tasks", "Tasks that wait for room",
       [&board] { return static_cast<double>(CountWaitingTasks(board)); }},
      {"dottereltrack_entry_accepted_bytes",
       "Estimated memory of accepted jobs",
       [&board] { return static_cast<double>(board.accepted.bytes); }},
      {"dottereltrack_entry_lost_tasks", "Tasks whose lost run may still live",
       [&board] { return static_cast<double>(board.lost_tasks.size()); }},
      {"dottereltrack_entry_recent_crashes",
       "Crashes of minions that are remembered",
       [&board] { return static_cast<double>(board.crashes.size()); }},
      {"dottereltrack_entry_agents", "Agents with a link",
       [&board] { return static_cast<double>(board.agents.size()); }},
      {"dottereltrack_entry_evacuated_data_centres",
       "Data centres under evacuation",
       [&board] {
         return static_cast<double>(CountEvacuated(board.evacuations));
       }},
      {"dottereltrack_entry_config_version",
       "Version of the configuration in force",
       [&board] { return static_cast<double>(board.config.version); }},
      {"dottereltrack_entry_busy_share",
       "Load of the event loop, from 0 to 1, averaged over a second",
       [&board] { return board.overload.pressure; }},
      {"dottereltrack_entry_overloaded", "1 if the entry counts as overloaded",
       [&board] { return board.overload.is_overloaded ? 1.0 : 0.0; }},
      {"dottereltrack_entry_forwarded_jobs_out",
       "Open jobs that another entry owns",
       [&board] { return static_cast<double>(CountForwardedJobs(board)); }},
      {"dottereltrack_entry_forwarded_jobs_in",
       "Open jobs that another entry has forwarded",
       [&board] { return static_cast<double>(board.forwarded_calls.size()); }},
      {"dottereltrack_entry_held_submissions",
       "Submissions that wait for what other entries know of their job",
       [&board] {
         return static_cast<double>(board.pending_submissions.size());
       }},
      {"dottereltrack_entry_peer_jobs",
       "Recent jobs that other entries have announced",
       [&board] { return static_cast<double>(CountPeerJobs(board)); }},
      {"dottereltrack_entry_offered_jobs", "Jobs that peers still take",
       [&board] { return static_cast<double>(CountOfferedJobs(board)); }}};
}

EntryBoard MakeBoard(const users_platform::NodeSettings& node_settings) {
  EntryBoard board;
  board.settings.id = RandomId();
  board.settings.address = node_settings.internal_address;
  board.settings.config_transfer.link_mbps = node_settings.link_mbps;
  board.settings.data_centre = node_settings.data_centre;
  board.settings.remote_factor = node_settings.remote_factor;
  board.settings.cpu_cores = node_settings.cpu_cores;
  SetMachineMemory(node_settings.memory_mb, &board.settings);
  if (node_settings.overload_share > 0) {
    SetOverloadShare(node_settings.overload_share, &board.settings);
  }
  board.started_at = BootNow();
  return board;
}

}  // namespace

PoolEntry::PoolEntry(asio::io_context& loop, const SettingsFile& file,
                     EventLog& log)
    : loop_(loop),
      node_settings_(file.settings),
      log_(log),
      board_(MakeBoard(node_settings_)),
      links_(loop, InternalLinkLimits(),
             {[this](LinkId link, const std::string& frame) {
                OnFrame(link, frame);
              },
              [this](LinkId link) { Post(LinkClosed{link}); },
              [this](LinkId link) { OnPartialFrame(link); }}),
      client_server_(
          loop, ServerLimits(node_settings_, kMaxSubmissionBytes),
          {[this](const HttpRequest& request, const HttpReplier& reply) {
             OnClientRequest(request, reply);
           },
           [this](std::uint64_t connection) {
             OnClientDisconnected(connection);
           },
           {}}),
      readiness_server_(
          loop, ServerLimits(node_settings_, kMaxSubmissionBytes),
          {[this](const HttpRequest& request, const HttpReplier& reply) {
             reply(users_platform::IsReadinessCheck(request)
                       ? users_platform::ReadinessResponse(IsReady(board_))
                       : users_platform::UnknownCallResponse());
           },
           {},
           {}}),
      store_(loop, node_settings_.store_address),
      registration_(loop, store_, log, node_settings_.internal_address),
      config_reader_(loop,
                     [this](ConfigReader::Result result) {
                       OnConfigParsed(std::move(result));
                     }),
      operator_watch_(
          loop, store_, log,
          {users_platform::kOperatorKeyPrefix, kOperatorWatchWait,
           kOperatorWatchRetryDelay,
           [this](const auto& item) {
             return users_platform::FindOperatorItemProblem(
                 item, node_settings_.data_centres);
           },
           &users_platform::IsUsedOperatorKey},
          [this](const auto& view) { OnOperatorItems(view); },
          [this](const Decision& refusal) { Execute(refusal); }),
      entry_watch_(
          loop, store_, log,
          {kEntryKeyPrefix, kEntryWatchWait, kEntryWatchRetryDelay,
           &FindAddressProblem},
          [this](const auto& view) {
            Post(EntriesListed{ParseEntryAddresses(view)});
          },
          [this](const Decision& refusal) { Execute(refusal); }),
      metrics_(
          loop, ServerLimits(node_settings_, kMaxSubmissionBytes),
          WithReceptionGauges(loop, MakeGauges(board_, config_parse_time_)),
          [this] { return DumpState(board_, ReadClocks()); }),
      settings_watch_(loop, file, log,
                      [this](const users_platform::NodeSettings& new_settings) {
                        Post(EntrySeedsRead{new_settings.seeds});
                      }),
      busy_meter_(BusyMeter::Clock::now()),
      tick_timer_(loop),
      exit_timer_(loop),
      signals_(loop, SIGTERM, SIGINT, SIGHUP),
      event_queue_(loop, [this](std::vector<EntryEvent> events) {
        ProcessEvents(std::move(events));
      }) {}

bool PoolEntry::Start() {
  LimitReception(loop_, node_settings_, kMaxSubmissionBytes,
                 [this](const Decision& it) { Execute(it); });
  if (!Listen()) return false;
  log_.Write("started", {{"clients", ToText(node_settings_.client_address)},
                         {"internal", ToText(node_settings_.internal_address)},
                         {"data_centre", node_settings_.data_centre},
                         {"seeds", node_settings_.seeds.size()}});
  metrics_.Listen(node_settings_.internal_address.host, log_);
  AwaitSignal();
  Post(EntrySeedsRead{node_settings_.seeds});
  registration_.Start();
  operator_watch_.Start();
  entry_watch_.Start();
  settings_watch_.Start();
  Tick();
  return true;
}

bool PoolEntry::Listen() {
  const bool has_all_addresses = node_settings_.client_address.port != 0 &&
                                 node_settings_.readiness_address.port != 0 &&
                                 node_settings_.internal_address.port != 0;
  if (!has_all_addresses) {
    log_.Write("start_failed",
               {{"problem",
                 "the settings lack an address to listen on; run this role "
                 "where clients are served"}});
    return false;
  }
  const bool is_listening =
      links_.Listen(node_settings_.internal_address) &&
      readiness_server_.Listen(node_settings_.readiness_address) &&
      client_server_.Listen(node_settings_.client_address);
  if (!is_listening) {
    log_.Write("start_failed",
               {{"problem",
                 "an address cannot be used; check the listen addresses and "
                 "whether their ports are in use"}});
  }
  return is_listening;
}

void PoolEntry::Post(EntryEvent event) { event_queue_.Post(std::move(event)); }

// The work of a handler ends with the handlers that are ready now, unless the
// turn that it causes goes on with it.
void PoolEntry::BeginWork() {
  if (busy_meter_.is_busy()) return;
  busy_meter_.Begin(BusyMeter::Clock::now());
  EndWorkAfterWrites(true);
}

// The writes that a turn causes are posted after it and count as work.
void PoolEntry::EndWorkAfterWrites(bool has_effects) {
  if (!has_effects) return busy_meter_.End(BusyMeter::Clock::now());
  asio::post(loop_, [this] { busy_meter_.End(BusyMeter::Clock::now()); });
}

void PoolEntry::ProcessEvents(std::vector<EntryEvent> events) {
  busy_meter_.Begin(BusyMeter::Clock::now());
  const Now now = ReadClocks();
  const milliseconds pause = PauseDuration(
      std::exchange(last_iteration_at_, now.boot), now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), EntryPaused{pause});
  const auto effects =
      Advance(&board_, events, now,
              [this](const CallId& call) { return IsCallerConnected(call); });
  for (const EntryEffect& effect : effects) {
    std::visit([this](const auto& it) { Execute(it); }, effect);
  }
  EndWorkAfterWrites(!effects.empty());
}

void PoolEntry::Tick() {
  BeginWork();
  const auto now = BusyMeter::Clock::now();
  // The timer has no expiry before the first tick.
  if (last_iteration_at_ != BootTime{0}) {
    busy_meter_.RecordTick(now - tick_timer_.expiry());
  }
  Post(
      LoopLoadMeasured{busy_meter_.BusyShare(now), busy_meter_.TickLateness()});
  Post(EntryTick{});
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Tick();
  });
}

void PoolEntry::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) return;
    if (signal == SIGHUP) {
      settings_watch_.Reload();
    } else {
      registration_.Unregister();
      Post(EntryStopRequested{});
    }
    AwaitSignal();
  });
}

Now PoolEntry::ReadClocks() const { return {BootNow(), WallNow(), 0}; }

void PoolEntry::OnFrame(LinkId link, const std::string& frame) {
  BeginWork();
  auto message = DecodeFrame(frame);
  if (!message) {
    Execute(MakeRefusal("frame_refused", message.error().message));
    return links_.Abort(link);
  }
  const auto* offer = std::get_if<ConfigOffer>(&message.value());
  const bool is_newer =
      offer != nullptr && offer->version > board_.config.version;
  const Bytes text = is_newer ? offer->text : Bytes();
  // The board must know of the offer before the result of reading its text.
  Post(MessageReceived{link, std::move(message.value())});
  if (is_newer) OnConfigText(text, link);
}

void PoolEntry::OnOperatorItems(const users_platform::StoreView& view) {
  // The evacuations come first: with a configuration, the entry starts tasks.
  Post(EvacuationsRead{
      users_platform::ReadEvacuations(view, node_settings_.data_centres)});
  for (const users_platform::StoreItem& item : view.items) {
    if (item.key != users_platform::kConfigKey) continue;
    // Changes of other keys do not make it worth parsing again.
    if (std::exchange(config_revision_, item.revision) == item.revision) break;
    OnConfigText(item.value, std::nullopt);
  }
}

void PoolEntry::OnPartialFrame(LinkId link) {
  // Each packet of a large frame arrives by itself on a slow link.
  const LinkRow* row = board_.links.Find(link);
  const auto interval = board_.settings.ping_interval;
  if (row != nullptr && BootNow() - row->last_received_at < interval) return;
  Post(LinkOpened{link});
}

void PoolEntry::OnConfigText(Bytes text, std::optional<LinkId> link) {
  // The store's watch lists the text again after a failure.
  if (text == board_.config_text) return;
  config_reader_.Read(std::move(text), link);
}

void PoolEntry::OnConfigParsed(ConfigReader::Result result) {
  config_parse_time_ = result.parse_time;
  if (result.config) {
    return Post(ConfigRead{std::move(result.config.value()), result.text});
  }
  Execute(MakeRefusal("config_refused", result.config.error().message));
  if (result.link) Post(ConfigRefused{*result.link});
}

CallId PoolEntry::AddOpenCall(const HttpRequest& request,
                              const HttpReplier& reply) {
  const CallId id{next_call_id_++};
  open_calls_.emplace(id, OpenCall{request.connection, reply});
  calls_by_connection_[request.connection].insert(id);
  return id;
}

void PoolEntry::OnClientRequest(const HttpRequest& request,
                                const HttpReplier& reply) {
  BeginWork();
  const auto call = users_platform::ParseClientCall(request);
  if (!call) return reply(users_platform::UnknownCallResponse());
  switch (call->kind) {
    case ClientCallKind::kSubmit:
      return Submit(*call, request, reply);
    case ClientCallKind::kReadState:
      return reply(ReadState(*call));
    case ClientCallKind::kCountPending:
      return reply(CountPendingJobs(*call));
    case ClientCallKind::kCancel:
      return Post(JobCancelRequested{AddOpenCall(request, reply), call->job});
  }
}

void PoolEntry::Submit(const ClientCall& call, const HttpRequest& request,
                       const HttpReplier& reply) {
  auto job = users_platform::ParseJobSpec(call.job, request.body);
  if (!job) {
    Decision refusal = MakeRefusal("job_malformed", job.error().message);
    refusal.job = call.job;
    refusal.texts.emplace_back("request", call.request_id);
    Execute(refusal);
    return reply(users_platform::MalformedJobResponse(job.error()));
  }
  Post(JobSubmitted{AddOpenCall(request, reply), call.request_id, call.host,
                    call.path, std::move(job.value()),
                    call.client_timeout.value_or(kDefaultClientTimeout), false,
                    milliseconds{0}, request.source});
}

HttpResponse PoolEntry::ReadState(const ClientCall& call) const {
  const JobRow* job = board_.jobs.Find(call.job);
  if (job == nullptr) return users_platform::UnknownJobResponse();
  return users_platform::StateResponse(job->state, job->may_have_started);
}

HttpResponse PoolEntry::CountPendingJobs(const ClientCall& call) const {
  if (board_.config.version == 0) {
    return users_platform::ResponseFor({{}, ReplyKind::kNoConfig, seconds{1}});
  }
  const QueueConfig* queue = FindQueue(board_.config, call.host, call.path);
  if (queue == nullptr) return users_platform::UnknownQueueResponse();
  return users_platform::PendingResponse(CountPending(board_, queue->name));
}

bool PoolEntry::IsCallerConnected(const CallId& call) const {
  // Calls without a connection here have not been disconnected, or the event is
  // in the same batch. The loss of the link of a forwarded call is another
  // event.
  const auto it = open_calls_.find(call);
  return it == open_calls_.end() ||
         client_server_.IsConnected(it->second.connection);
}

void PoolEntry::OnClientDisconnected(std::uint64_t connection) {
  const auto found = calls_by_connection_.find(connection);
  if (found == calls_by_connection_.end()) return;
  for (const CallId& call : found->second) {
    Post(CallerDisconnected{call});
    open_calls_.erase(call);
  }
  calls_by_connection_.erase(found);
}

void PoolEntry::Execute(const Reply& effect) {
  const auto it = open_calls_.find(effect.call);
  if (it == open_calls_.end()) return;
  const HttpReplier reply = std::move(it->second.reply);
  const auto calls = calls_by_connection_.find(it->second.connection);
  calls->second.erase(effect.call);
  if (calls->second.empty()) calls_by_connection_.erase(calls);
  open_calls_.erase(it);
  HttpResponse response = users_platform::ResponseFor(effect);
  // Closing the connection makes the client send its next call to another
  // entry.
  response.close = board_.stopping;
  reply(std::move(response));
}

void PoolEntry::Execute(const SendMessage& effect) {
  links_.Send(effect.link, EncodeFrame(effect.message));
}

void PoolEntry::Execute(const DialPeer& effect) {
  links_.Dial(effect.address,
              [this, address = effect.address](std::optional<LinkId> link) {
                Post(PeerDialed{address, link});
              });
}

void PoolEntry::Execute(const AbortLink& effect) { links_.Abort(effect.link); }

void PoolEntry::Execute(const ExitEntry&) {
  event_queue_.Stop();
  client_server_.StopListening();
  log_.Write("stopped", {{"open_calls", open_calls_.size()}});
  exit_timer_.expires_after(kExitFlushDelay);
  exit_timer_.async_wait([this](const asio::error_code&) { loop_.stop(); });
}

void PoolEntry::Execute(const Decision& effect) {
  metrics_.Count(effect);
  LogDecision(&log_, effect);
}

}  // namespace dottereltrack::pool
