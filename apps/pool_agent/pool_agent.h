#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <vector>

#include "apps/pool_common/daemon.h"
#include "apps/pool_common/metrics.h"
#include "apps/pool_common/settings_watch.h"
#include "apps/pool_common/store_watches.h"
#include "core/pool/agent/advance.h"
#include "http_client/http_client.h"
#include "platform/metadata_store.h"
#include "platform/settings.h"
#include "runtime/http/http_server.h"
#include "runtime/link_hub.h"
#include "runtime/turn_queue.h"

namespace dottereltrack::pool {

// Connects the agent's decision logic to the network. Converts input to events,
// applies the queued events to the board once per iteration of the event loop,
// and executes the resulting effects. Runs entirely on the loop's thread.
class PoolAgent {
 public:
  PoolAgent(asio::io_context& loop, const SettingsFile& file, EventLog& log);
  PoolAgent(const PoolAgent&) = delete;
  PoolAgent& operator=(const PoolAgent&) = delete;

  // Starts listening and schedules all periodic work. Returns false if an
  // address is missing or cannot be bound.
  bool Start();

 private:
  void Post(AgentEvent event);
  void ProcessEvents(std::vector<AgentEvent> events);
  void Tick();
  void AwaitSignal();
  Now ReadClocks() const;

  void OnFrame(LinkId link, const std::string& frame);
  HttpResponse OnMinionRequest(const HttpRequest& request);

  void Execute(const SendToEntry& effect);
  void Execute(const DialEntry& effect);
  void Execute(const AbortEntryLink& effect);
  void Execute(const CallStart& effect);
  void Execute(const CallStop& effect);
  void Execute(const CallPoll& effect);
  void Execute(const ExitAgent& effect);
  void Execute(const Decision& effect);

  asio::io_context& loop_;
  users_platform::NodeSettings node_settings_;
  EventLog& log_;
  AgentBoard board_;
  LinkHub links_;
  HttpServer report_server_;
  HttpClient minion_client_;
  users_platform::StoreClient store_;
  PrefixWatch entry_watch_;
  PoolMetrics metrics_;
  SettingsWatch settings_watch_;
  asio::steady_timer tick_timer_;
  asio::steady_timer exit_timer_;
  asio::signal_set signals_;
  BootTime last_iteration_at_{0};
  TurnQueue<AgentEvent> event_queue_;
};

}  // namespace dottereltrack::pool
