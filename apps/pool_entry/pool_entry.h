#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <vector>

#include "apps/pool_common/daemon.h"
#include "apps/pool_common/metrics.h"
#include "apps/pool_common/settings_watch.h"
#include "apps/pool_common/store_watches.h"
#include "core/pool/entry/advance.h"
#include "platform/job.h"
#include "platform/metadata_store.h"
#include "platform/settings.h"
#include "runtime/http/http_server.h"
#include "runtime/link_hub.h"
#include "runtime/turn_queue.h"

namespace dottereltrack::pool {

// Turns input into events, lets the decisions advance the board once per turn
// of the loop, and carries out their effects. All on the loop's thread.
class PoolEntry {
 public:
  PoolEntry(asio::io_context& loop, const SettingsFile& file, EventLog& log);
  PoolEntry(const PoolEntry&) = delete;
  PoolEntry& operator=(const PoolEntry&) = delete;

  // Listens and starts all activity. False if an address cannot be used.
  bool Start();

 private:
  // A call of a client that waits for its response.
  struct OpenCall {
    std::uint64_t connection = 0;
    HttpReplier reply;
  };

  bool Listen();
  void Post(EntryEvent event);
  void Turn(std::vector<EntryEvent> events);
  void Tick();
  void AwaitSignal();
  Now TakeNow() const;

  void OnFrame(LinkId link, const std::string& frame);
  void OnClientRequest(const HttpRequest& request, const HttpReplier& reply);
  void OnClientGone(std::uint64_t connection);
  void Submit(const users_platform::ClientCall& call,
              const HttpRequest& request, const HttpReplier& reply);
  HttpResponse ReadState(const users_platform::ClientCall& call) const;
  HttpResponse CountPendingJobs(const users_platform::ClientCall& call) const;
  void OnConfigText(const std::string& text);
  CallId OpenCallFor(const HttpRequest& request, const HttpReplier& reply);

  void Do(const Reply& effect);
  void Do(const SendMessage& effect);
  void Do(const DialPeer& effect);
  void Do(const AbortLink& effect);
  void Do(const ExitEntry& effect);
  void Do(const Decision& effect);

  asio::io_context& loop_;
  users_platform::NodeSettings node_;
  EventLog& log_;
  EntryBoard board_;
  LinkHub links_;
  HttpServer clients_;
  HttpServer readiness_;
  users_platform::StoreClient store_;
  EntryRegistration registration_;
  PrefixWatch config_watch_;
  PrefixWatch entry_watch_;
  PoolMetrics metrics_;
  SettingsWatch settings_watch_;
  asio::steady_timer tick_;
  asio::steady_timer exit_timer_;
  asio::signal_set signals_;
  BootTime last_turn_{0};
  TurnQueue<EntryEvent> turns_;
  std::uint64_t next_call_ = 1;
  std::map<CallId, OpenCall> calls_;
};

}  // namespace dottereltrack::pool
