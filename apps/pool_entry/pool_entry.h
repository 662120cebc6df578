#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <set>
#include <vector>

#include "apps/pool_common/daemon.h"
#include "apps/pool_common/metrics.h"
#include "apps/pool_common/settings_watch.h"
#include "apps/pool_common/store_watches.h"
#include "apps/pool_entry/config_reader.h"
#include "core/pool/entry/advance.h"
#include "platform/job.h"
#include "platform/metadata_store.h"
#include "platform/settings.h"
#include "runtime/busy_meter.h"
#include "runtime/http/http_server.h"
#include "runtime/link_hub.h"
#include "runtime/turn_queue.h"

namespace dottereltrack::pool {

// Connects the entry's decision logic to the network. Converts input to events,
// applies the queued events to the board once per iteration of the event loop,
// and executes the resulting effects. Runs entirely on the loop's thread.
class PoolEntry {
 public:
  PoolEntry(asio::io_context& loop, const SettingsFile& file, EventLog& log);
  PoolEntry(const PoolEntry&) = delete;
  PoolEntry& operator=(const PoolEntry&) = delete;

  // Starts listening and schedules all periodic work. Returns false if an
  // address is missing or cannot be bound.
  bool Start();

 private:
  // A client's call that awaits its response.
  struct OpenCall {
    std::uint64_t connection = 0;
    HttpReplier reply;
  };

  bool Listen();
  void Post(EntryEvent event);
  void ProcessEvents(std::vector<EntryEvent> events);
  void BeginWork();
  void EndWorkAfterWrites(bool has_effects);
  void Tick();
  void AwaitSignal();
  Now ReadClocks() const;

  void OnFrame(LinkId link, const std::string& frame);
  // Keeps a link alive while a large frame arrives.
  void OnPartialFrame(LinkId link);
  void OnClientRequest(const HttpRequest& request, const HttpReplier& reply);
  void OnClientDisconnected(std::uint64_t connection);
  bool IsCallerConnected(const CallId& call) const;
  void Submit(const users_platform::ClientCall& call,
              const HttpRequest& request, const HttpReplier& reply);
  HttpResponse ReadState(const users_platform::ClientCall& call) const;
  HttpResponse CountPendingJobs(const users_platform::ClientCall& call) const;
  void OnOperatorItems(const users_platform::StoreView& view);
  // Parses a text from the store or, if `link` is set, from another process.
  void OnConfigText(Bytes text, std::optional<LinkId> link);
  void OnConfigParsed(ConfigReader::Result result);
  CallId AddOpenCall(const HttpRequest& request, const HttpReplier& reply);

  void Execute(const Reply& effect);
  void Execute(const SendMessage& effect);
  void Execute(const DialPeer& effect);
  void Execute(const AbortLink& effect);
  void Execute(const ExitEntry& effect);
  void Execute(const Decision& effect);

  asio::io_context& loop_;
  users_platform::NodeSettings node_settings_;
  EventLog& log_;
  EntryBoard board_;
  LinkHub links_;
  HttpServer client_server_;
  HttpServer readiness_server_;
  users_platform::StoreClient store_;
  EntryRegistration registration_;
  std::chrono::microseconds config_parse_time_{0};
  ConfigReader config_reader_;
  PrefixWatch operator_watch_;
  PrefixWatch entry_watch_;
  PoolMetrics metrics_;
  SettingsWatch settings_watch_;
  BusyMeter busy_meter_;
  asio::steady_timer tick_timer_;
  asio::steady_timer exit_timer_;
  asio::signal_set signals_;
  BootTime last_iteration_at_{0};
  TurnQueue<EntryEvent> event_queue_;
  // Revision of the configuration that was last read from the store.
  std::uint64_t config_revision_ = 0;
  std::uint64_t next_call_id_ = 1;
  std::map<CallId, OpenCall> open_calls_;
  std::map<std::uint64_t, std::set<CallId>> calls_by_connection_;
};

}  // namespace dottereltrack::pool
