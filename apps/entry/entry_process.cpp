#include "apps/entry/entry_process.h"

#include <csignal>
#include <utility>

#include "apps/entry/http_response.h"
#include "runtime/http/reception_report.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack {
namespace {

constexpr milliseconds kTickInterval{50};
// Part of the machine's memory for open jobs and calls.
constexpr std::size_t kAcceptedShare = 4;

EntryBoard MakeBoard(const EntryDaemonSettings& settings) {
  EntryBoard board;
  board.settings = settings.core;
  board.settings.max_accepted_bytes =
      (std::size_t{settings.machine.memory_mb} << 20) / kAcceptedShare;
  return board;
}

}  // namespace

EntryProcess::EntryProcess(asio::io_context& loop,
                           const EntryDaemonSettings& settings)
    : loop_(loop),
      settings_(settings),
      board_(MakeBoard(settings)),
      links_(loop, LinkLimits{},
             {[this](LinkId link, const std::string& frame) {
                OnFrame(link, frame);
              },
              [this](LinkId link) { Post(LinkClosed{link}); }}),
      http_server_(loop, settings.http,
                   {[this](const HttpRequest& request, HttpReplier reply) {
                      OnHttpRequest(request, std::move(reply));
                    },
                    [this](std::uint64_t connection) {
                      OnClientDisconnected(connection);
                    },
                    [](std::size_t size, std::size_t limit) {
                      return ToHttpResponse(RenderBodyTooLarge(size, limit));
                    }}),
      tick_timer_(loop),
      signals_(loop, SIGTERM, SIGINT),
      exit_timer_(loop),
      random_(RandomId()),
      event_queue_(loop, [this](const std::vector<EntryEvent>& events) {
        ProcessEvents(events);
      }) {}

bool EntryProcess::Start(Store store) {
  LimitReception(loop_, settings_.machine, settings_.http);
  store_ = std::move(store);
  const auto link_port = links_.Listen(settings_.link_listen);
  if (!link_port) {
    Log(LogPart::kLinks, LogLevel::kError,
        "cannot listen on " + ToText(settings_.link_listen) +
            "; check link_listen and whether the port is in use");
    return false;
  }
  const auto http_port = http_server_.Listen(settings_.http_listen);
  if (!http_port) {
    Log(LogPart::kHttp, LogLevel::kError,
        "cannot listen on " + ToText(settings_.http_listen) +
            "; check http_listen and whether the port is in use");
    return false;
  }
  http_port_ = *http_port;
  Endpoint advertised = settings_.link_advertise;
  if (advertised.host.empty()) advertised.host = settings_.link_listen.host;
  if (advertised.port == 0) advertised.port = *link_port;
  board_.settings.peer_address = advertised;
  Log(LogPart::kMain, LogLevel::kInfo,
      "entry " + ToHex(board_.settings.id.value) + " of cell " +
          settings_.cell + " listening for HTTP on " +
          ToText({settings_.http_listen.host, *http_port}) +
          " and for links on " + ToText(advertised));
  AwaitSignal();
  StartStoreWatches();
  Tick();
  return true;
}

void EntryProcess::Post(EntryEvent event) {
  event_queue_.Post(std::move(event));
}

void EntryProcess::ProcessEvents(const std::vector<EntryEvent>& events) {
  const Now now = ReadClocks();
  const Authority before = board_.authority;
  for (const EntryEffect& effect : Advance(&board_, events, now)) {
    std::visit([this](const auto& it) { Execute(it); }, effect);
  }
  LogRoleChange(before);
  metrics_.Observe(LatencyKind::kLoopIteration, BootNow() - now.boot);
}

void EntryProcess::Tick() {
  Post(dottereltrack::Tick{});
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Tick();
  });
}

void EntryProcess::LogRoleChange(const Authority& before) {
  const Authority& after = board_.authority;
  if (before.role == after.role && before.generation == after.generation) {
    return;
  }
  Log(LogPart::kCell, LogLevel::kInfo,
      std::string("role changed from ") + ToString(before.role) + " to " +
          ToString(after.role) + " in generation " +
          std::to_string(after.generation));
}

void EntryProcess::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& ec, int) {
    if (ec) return;
    Log(LogPart::kMain, LogLevel::kInfo,
        "stop requested; exiting once all calls have been answered");
    Post(StopRequested{});
    AwaitSignal();
  });
}

Now EntryProcess::ReadClocks() { return {BootNow(), WallNow(), random_()}; }

void EntryProcess::StartStoreWatches() {
  WatchBackoff backoff;
  backoff.initial_delay = settings_.core.store_retry;
  backoff.max_delay = settings_.core.max_store_retry;
  table_watch_ = std::make_unique<StoreWatch>(
      loop_, backoff,
      [this](std::uint64_t after, const StoreWatch::DoneCallback& done) {
        store_.watch_table(after, [this, done](const auto& table) {
          if (table) Post(TableObserved{*table});
          done(table ? std::optional(table->revision) : std::nullopt);
        });
      });
  config_watch_ = std::make_unique<StoreWatch>(
      loop_, backoff,
      [this](std::uint64_t after, const StoreWatch::DoneCallback& done) {
        store_.watch_config(after, [this, done](const auto& config) {
          if (config) Post(ConfigObserved{*config});
          done(config ? std::optional(config->revision) : std::nullopt);
        });
      });
  table_watch_->Start();
  config_watch_->Start();
}

}  // namespace dottereltrack
