#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "apps/entry/store_watch.h"
#include "dottereltrack/api.h"
#include "dottereltrack/cell_store.h"
#include "dottereltrack/core.h"
#include "dottereltrack/runtime.h"

namespace dottereltrack {

// An HTTP call that awaits its reply.
struct PendingCall {
  HttpReplier reply;
  std::uint64_t connection = 0;
  // The idempotency key of a submitted job, which its answer repeats; empty for
  // other calls.
  std::string idempotency_key;
  BootTime opened_at{0};
};

// Connects the entry's decision logic to the network. Converts input to events,
// applies the queued events to the board once per iteration of the event loop,
// and executes the resulting effects. Runs entirely on the loop's thread.
class EntryProcess {
 public:
  EntryProcess(asio::io_context& loop, const EntryDaemonSettings& settings);
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Starts listening and schedules all periodic work. Returns false if an
  // address cannot be bound.
  bool Start(Store store);
  // Port of the HTTP server. Valid after Start has succeeded.
  std::uint16_t http_port() const { return http_port_; }

 private:
  void Post(EntryEvent event);
  void ProcessEvents(const std::vector<EntryEvent>& events);
  void Tick();
  void LogRoleChange(const Authority& before);
  void AwaitSignal();
  Now ReadClocks();

  void OnFrame(LinkId link, const std::string& frame);
  void OnHttpRequest(const HttpRequest& request, HttpReplier reply);
  void OnClientDisconnected(std::uint64_t connection);
  void HandleRequest(const Route& route, const HttpRequest& request,
                     HttpReplier reply);
  void Submit(const HttpRequest& request, HttpReplier reply);
  void ChangeConfig(const HttpRequest& request, HttpReplier reply);
  void ConfirmDead(const HttpRequest& request, HttpReplier reply);
  // Registers a call and stores its replier until the reply is known.
  CallId AddPendingCall(const HttpRequest& request, HttpReplier reply,
                        std::string idempotency_key);
  void AnswerCall(CallId call, const ApiReply& reply);
  void AnswerCall(CallId call, const Reply& reply);

  void StartStoreWatches();

  void Execute(const SendToAgent& effect);
  void Execute(const SendToPeer& effect);
  void Execute(const ReplyToCaller& effect);
  void Execute(const ReplyToOperator& effect);
  void Execute(const DialPeer& effect);
  void Execute(const CloseLink& effect);
  void Execute(const ReadTable& effect);
  void Execute(const ReadConfig& effect);
  void Execute(const WriteTable& effect);
  void Execute(const WriteConfig& effect);
  void Execute(const ExitProcess& effect);
  void ObserveStartDelays(const Starts& starts);

  asio::io_context& loop_;
  EntryDaemonSettings settings_;
  EntryBoard board_;
  EntryMetrics metrics_;
  LinkHub links_;
  HttpServer http_server_;
  Store store_;
  asio::steady_timer tick_timer_;
  asio::signal_set signals_;
  asio::steady_timer exit_timer_;
  std::mt19937_64 random_;
  TurnQueue<EntryEvent> event_queue_;
  std::uint16_t http_port_ = 0;
  std::uint64_t next_call_id_ = 1;
  std::map<CallId, PendingCall> pending_calls_;
  std::map<std::uint64_t, std::set<CallId>> calls_by_connection_;
  std::unique_ptr<StoreWatch> table_watch_;
  std::unique_ptr<StoreWatch> config_watch_;
};

}  // namespace dottereltrack
