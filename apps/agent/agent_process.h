#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dottereltrack/api.h"
#include "dottereltrack/core.h"
#include "dottereltrack/http_client.h"
#include "dottereltrack/runtime.h"

namespace dottereltrack {

// Connects the agent's decision logic to the network. Converts input to events,
// applies the queued events to the board once per iteration of the event loop,
// and executes the resulting effects. Runs entirely on the loop's thread.
class AgentProcess {
 public:
  AgentProcess(asio::io_context& loop, const AgentDaemonSettings& settings);
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  // Starts listening and schedules all periodic work. Returns false if the
  // HTTP address cannot be bound.
  bool Start();

 private:
  void Post(AgentEvent event);
  void Turn(const std::vector<AgentEvent>& events);
  void Tick();
  void AwaitStopSignal();
  Now TakeNow();

  void OnFrame(LinkId link, const std::string& frame);
  void OnHttp(const HttpRequest& request, const HttpReplier& reply);
  ApiReply Serve(const HttpRequest& request);
  ApiReply Announce(const std::string& body);
  ApiReply Leave(const std::string& body);

  void Do(const SendToEntry& effect);
  void Do(const StartOnMinion& effect);
  void Do(const AbortOnMinion& effect);
  void Do(const DialEntry& effect);
  void Do(const CloseEntryLink& effect);
  void Do(const ExitAgent& effect);
  void EndAttempt(const TaskId& task, HttpResult result, BootTime started_at);

  asio::io_context& loop_;
  AgentDaemonSettings settings_;
  AgentBoard board_;
  LinkHub links_;
  HttpServer http_;
  HttpClient minion_;
  asio::steady_timer tick_;
  asio::steady_timer exit_timer_;
  asio::signal_set signals_;
  std::mt19937_64 random_;
  TurnQueue<AgentEvent> turns_;
  // Addresses of the most recent minion instances, by instance id. A start
  // names its instance, so a start for a replaced instance cannot reach the new
  // one.
  std::map<std::uint64_t, MinionTarget> targets_;
  std::map<TaskId, HttpCallId> attempts_;
};

}  // namespace dottereltrack
