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

// Turns input into events, lets the decisions advance the board once per turn
// of the loop, and carries out their effects. All on the loop's thread.
class PoolAgent {
 public:
  PoolAgent(asio::io_context& loop, const SettingsFile& file, EventLog& log);
  PoolAgent(const PoolAgent&) = delete;
  PoolAgent& operator=(const PoolAgent&) = delete;

  // Listens and starts all activity. False if an address cannot be used.
  bool Start();

 private:
  void Post(AgentEvent event);
  void Turn(std::vector<AgentEvent> events);
  void Tick();
  void AwaitSignal();
  Now TakeNow() const;

  void OnFrame(LinkId link, const std::string& frame);
  HttpResponse OnMinionRequest(const HttpRequest& request);

  void Do(const SendToEntry& effect);
  void Do(const DialEntry& effect);
  void Do(const AbortEntryLink& effect);
  void Do(const CallStart& effect);
  void Do(const CallStop& effect);
  void Do(const CallPoll& effect);
  void Do(const ExitAgent& effect);
  void Do(const Decision& effect);

  asio::io_context& loop_;
  users_platform::NodeSettings node_;
  EventLog& log_;
  AgentBoard board_;
  LinkHub links_;
  HttpServer reports_;
  HttpClient minion_;
  users_platform::StoreClient store_;
  PrefixWatch entry_watch_;
  PoolMetrics metrics_;
  SettingsWatch settings_watch_;
  asio::steady_timer tick_;
  asio::steady_timer exit_timer_;
  asio::signal_set signals_;
  BootTime last_turn_{0};
  TurnQueue<AgentEvent> turns_;
};

}  // namespace dottereltrack::pool
