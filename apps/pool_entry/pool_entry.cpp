#include "apps/pool_entry/pool_entry.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "apps/pool_entry/state_dump.h"
#include "core/pool/pause.h"
#include "platform/config.h"
#include "pool_wire/codec.h"
#include "runtime/clock.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {
namespace {

using users_platform::ClientCall;
using users_platform::ClientCallKind;

constexpr milliseconds kTickInterval{25};

// A configuration has to be in force 2 s after its write. A watch that has gone
// silent without a reset is noticed after its wait and the store's timeout.
constexpr milliseconds kConfigWait{800};
constexpr milliseconds kConfigRetry{200};
// Entries change rarely and also learn of each other from agents.
constexpr milliseconds kEntriesWait{10'000};
constexpr milliseconds kEntriesRetry{500};

// Waits of clients that do not say how long they wait.
constexpr milliseconds kDefaultPatience{5'000};

// The last responses and messages leave within this time.
constexpr milliseconds kExitDelay{100};

// Descriptors for links to agents and other entries, the store, metrics and the
// process itself; pools of the users have up to 300 machines.
constexpr std::uint32_t kReservedDescriptors = 600;
constexpr std::uint32_t kMinConnections = 100;

HttpLimits ClientLimits(const users_platform::NodeSettings& node) {
  HttpLimits limits;
  limits.max_body_bytes = 256U << 10;
  const std::uint32_t descriptors =
      std::max(node.max_descriptors, kReservedDescriptors);
  limits.max_connections =
      std::max(descriptors - kReservedDescriptors, kMinConnections);
  return limits;
}

std::vector<Gauge> GaugesOf(const EntryBoard& board) {
  return {
      {"dottereltrack_entry_open_jobs", "Accepted jobs without an answer",
       [&board] { return static_cast<double>(board.active_jobs.size()); }},
      {"dottereltrack_entry_waiting_tasks", "Tasks that wait for room",
       [&board] { return static_cast<double>(board.waiting_tasks.size()); }},
      {"dottereltrack_entry_lost_tasks", "Tasks whose lost run may still live",
       [&board] { return static_cast<double>(board.lost_tasks.size()); }},
      {"dottereltrack_entry_agents", "Agents with a link",
       [&board] { return static_cast<double>(board.agents.size()); }},
      {"dottereltrack_entry_config_version",
       "Version of the configuration in force",
       [&board] { return static_cast<double>(board.config.version); }}};
}

EntryBoard MakeBoard(const users_platform::NodeSettings& node) {
  EntryBoard board;
  board.settings.id = RandomId();
  board.settings.address = node.internal_address;
  board.started_at = BootNow();
  return board;
}

}  // namespace

PoolEntry::PoolEntry(asio::io_context& loop, const SettingsFile& file,
                     EventLog& log)
    : loop_(loop),
      node_(file.settings),
      log_(log),
      board_(MakeBoard(node_)),
      links_(loop, InternalLinkLimits(),
             {[this](LinkId link, const std::string& frame) {
                OnFrame(link, frame);
              },
              [this](LinkId link) { Post(LinkClosed{link}); }}),
      clients_(loop, ClientLimits(node_),
               {[this](const HttpRequest& request, const HttpReplier& reply) {
                  OnClientRequest(request, reply);
                },
                [this](std::uint64_t connection) { OnClientGone(connection); },
                {}}),
      readiness_(
          loop, HttpLimits{},
          {[this](const HttpRequest& request, const HttpReplier& reply) {
             reply(users_platform::IsReadinessCheck(request)
                       ? users_platform::ReadinessResponse(IsReady(board_))
                       : users_platform::UnknownCallResponse());
           },
           {},
           {}}),
      store_(loop, node_.store_address),
      registration_(loop, store_, log, node_.internal_address),
      config_watch_(loop, store_, log,
                    {users_platform::kConfigKey, kConfigWait, kConfigRetry},
                    [this](const auto& values) {
                      const auto it = values.find(users_platform::kConfigKey);
                      if (it != values.end()) OnConfigText(it->second);
                    }),
      entry_watch_(loop, store_, log,
                   {kEntryPrefix, kEntriesWait, kEntriesRetry},
                   [this](const auto& values) {
                     Post(EntriesListed{ReadEntries(values)});
                   }),
      metrics_(loop, GaugesOf(board_),
               [this] { return DumpState(board_, TakeNow()); }),
      settings_watch_(loop, file, log,
                      [this](const users_platform::NodeSettings& changed) {
                        Post(EntrySeedsRead{changed.seeds});
                      }),
      tick_(loop),
      exit_timer_(loop),
      signals_(loop, SIGTERM, SIGINT, SIGHUP),
      turns_(loop, [this](std::vector<EntryEvent> events) {
        Turn(std::move(events));
      }) {}

bool PoolEntry::Start() {
  if (!Listen()) return false;
  log_.Write("started", {{"clients", ToText(node_.client_address)},
                         {"internal", ToText(node_.internal_address)},
                         {"data_centre", node_.data_centre},
                         {"seeds", node_.seeds.size()}});
  metrics_.Listen(node_.internal_address.host, log_);
  AwaitSignal();
  Post(EntrySeedsRead{node_.seeds});
  registration_.Start();
  config_watch_.Start();
  entry_watch_.Start();
  settings_watch_.Start();
  Tick();
  return true;
}

bool PoolEntry::Listen() {
  const bool is_complete = node_.client_address.port != 0 &&
                           node_.readiness_address.port != 0 &&
                           node_.internal_address.port != 0;
  if (!is_complete) {
    log_.Write("start_failed",
               {{"problem",
                 "the settings lack an address to listen on; run this role "
                 "where clients are served"}});
    return false;
  }
  const bool listens = links_.Listen(node_.internal_address) &&
                       readiness_.Listen(node_.readiness_address) &&
                       clients_.Listen(node_.client_address);
  if (!listens) {
    log_.Write("start_failed",
               {{"problem",
                 "an address cannot be used; check the listen addresses and "
                 "whether their ports are in use"}});
  }
  return listens;
}

void PoolEntry::Post(EntryEvent event) { turns_.Post(std::move(event)); }

void PoolEntry::Turn(std::vector<EntryEvent> events) {
  const Now now = TakeNow();
  const milliseconds pause = PauseDuration(std::exchange(last_turn_, now.boot),
                                           now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), EntryPaused{pause});
  const auto effects = Advance(&board_, events, now);
  for (const EntryEffect& effect : effects) {
    std::visit([this](const auto& it) { Do(it); }, effect);
  }
}

void PoolEntry::Tick() {
  Post(EntryTick{});
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Tick();
  });
}

void PoolEntry::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) return;
    if (signal == SIGHUP) {
      settings_watch_.Reload();
    } else {
      registration_.Withdraw();
      Post(EntryStopRequested{});
    }
    AwaitSignal();
  });
}

Now PoolEntry::TakeNow() const { return {BootNow(), WallNow(), 0}; }

void PoolEntry::OnFrame(LinkId link, const std::string& frame) {
  auto message = DecodeFrame(frame);
  if (!message) {
    log_.Write("frame_refused", {{"problem", message.error().message}},
               LineBudget::kFailure);
    return links_.Abort(link);
  }
  if (const auto* offer = std::get_if<ConfigOffer>(&message.value())) {
    if (offer->version > board_.config.version) OnConfigText(*offer->text);
  }
  Post(MessageReceived{link, std::move(message.value())});
}

void PoolEntry::OnConfigText(const std::string& text) {
  auto config = users_platform::ReadConfig(text);
  if (!config) {
    log_.Write("config_refused", {{"problem", config.error().message}});
    return;
  }
  Post(ConfigRead{std::move(config.value()), text});
}

CallId PoolEntry::OpenCallFor(const HttpRequest& request,
                              const HttpReplier& reply) {
  const CallId id{next_call_++};
  calls_.emplace(id, OpenCall{request.connection, reply});
  return id;
}

void PoolEntry::OnClientRequest(const HttpRequest& request,
                                const HttpReplier& reply) {
  const auto call = users_platform::ReadClientCall(request);
  if (!call) return reply(users_platform::UnknownCallResponse());
  switch (call->kind) {
    case ClientCallKind::kSubmit:
      return Submit(*call, request, reply);
    case ClientCallKind::kReadState:
      return reply(ReadState(*call));
    case ClientCallKind::kCountPending:
      return reply(CountPendingJobs(*call));
    case ClientCallKind::kCancel:
      return Post(JobCancelRequested{OpenCallFor(request, reply), call->job});
  }
}

void PoolEntry::Submit(const ClientCall& call, const HttpRequest& request,
                       const HttpReplier& reply) {
  auto job = users_platform::ReadJob(call.job, request.body);
  if (!job) {
    log_.Write("job_malformed",
               {{"request", call.request_id},
                {"job", JobIdToText(call.job)},
                {"problem", job.error().message}},
               LineBudget::kFailure);
    return reply(users_platform::MalformedJobResponse(job.error()));
  }
  Post(JobSubmitted{OpenCallFor(request, reply), call.request_id, call.host,
                    call.path, std::move(job.value()),
                    call.patience.value_or(kDefaultPatience)});
}

HttpResponse PoolEntry::ReadState(const ClientCall& call) const {
  const JobRow* job = board_.jobs.Find(call.job);
  if (job == nullptr) return users_platform::UnknownJobResponse();
  return users_platform::StateResponse(job->state, job->may_have_started);
}

HttpResponse PoolEntry::CountPendingJobs(const ClientCall& call) const {
  if (board_.config.version == 0) {
    return users_platform::ResponseOf({{}, ReplyKind::kNoConfig, seconds{1}});
  }
  const QueueConfig* queue = FindQueue(board_.config, call.host, call.path);
  if (queue == nullptr) return users_platform::UnknownQueueResponse();
  return users_platform::PendingResponse(CountPending(board_, queue->name));
}

void PoolEntry::OnClientGone(std::uint64_t connection) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (it->second.connection != connection) {
      ++it;
      continue;
    }
    Post(CallerDisconnected{it->first});
    it = calls_.erase(it);
  }
}

void PoolEntry::Do(const Reply& effect) {
  const auto it = calls_.find(effect.call);
  if (it == calls_.end()) return;
  const HttpReplier reply = std::move(it->second.reply);
  calls_.erase(it);
  HttpResponse response = users_platform::ResponseOf(effect);
  // Sends the client's next call to another entry.
  response.close = board_.stopping;
  reply(std::move(response));
}

void PoolEntry::Do(const SendMessage& effect) {
  links_.Send(effect.link, EncodeFrame(effect.message));
}

void PoolEntry::Do(const DialPeer& effect) {
  links_.Dial(effect.address,
              [this, address = effect.address](std::optional<LinkId> link) {
                Post(PeerDialed{address, link});
              });
}

void PoolEntry::Do(const AbortLink& effect) { links_.Abort(effect.link); }

void PoolEntry::Do(const ExitEntry&) {
  turns_.Stop();
  clients_.StopListening();
  log_.Write("stopped", {{"open_calls", calls_.size()}});
  exit_timer_.expires_after(kExitDelay);
  exit_timer_.async_wait([this](const asio::error_code&) { loop_.stop(); });
}

void PoolEntry::Do(const Decision& effect) {
  metrics_.Count(effect);
  LogDecision(&log_, effect);
}

}  // namespace dottereltrack::pool
