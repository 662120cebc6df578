#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/cell.h"
#include "platform/metadata_store.h"
#include "runtime/log/event_log.h"

namespace dottereltrack::pool {

// Logs one event when a dependency becomes unavailable and one when it
// recovers.
class DependencyLog {
 public:
  DependencyLog(EventLog& log, std::string name);
  void RecordResult(bool is_available, const std::string& problem);

 private:
  EventLog& log_;
  std::string name_;
  bool is_available_ = true;
};

// Watches the keys with a prefix: lists all of them, then waits for changes,
// and lists them again after a failure.
class PrefixWatch {
 public:
  struct Settings {
    std::string prefix;
    // Maximum duration of one long poll.
    milliseconds max_wait{0};
    // Delay after a failure.
    milliseconds retry_delay{0};
  };
  // Called with all keys and their values after each change.
  using ChangeCallback =
      std::function<void(const std::map<std::string, std::string>&)>;

  PrefixWatch(asio::io_context& loop, users_platform::StoreClient& store,
              EventLog& log, Settings settings, ChangeCallback on_change);
  void Start();

 private:
  void WatchForChanges();
  void OnListResponse(const users_platform::StoreResult& result);
  void OnWatchResponse(const users_platform::StoreResult& result);
  void ScheduleRestart(const std::string& problem);

  users_platform::StoreClient& store_;
  DependencyLog dependency_log_;
  Settings settings_;
  ChangeCallback on_change_;
  asio::steady_timer timer_;
  std::map<std::string, std::string> values_;
  std::uint64_t as_of_ = 0;
};

// Keeps an entry's address registered in the store, under a lease, while the
// process runs.
class EntryRegistration {
 public:
  EntryRegistration(asio::io_context& loop, users_platform::StoreClient& store,
                    EventLog& log, const Endpoint& address);
  void Start();
  // Ends the lease, so that other processes stop dialing this entry.
  void Unregister();

 private:
  void RequestLease();
  void PutAddress();
  void SendLeaseRenewal();
  void ScheduleStep(milliseconds delay, void (EntryRegistration::*next_step)());

  users_platform::StoreClient& store_;
  DependencyLog dependency_log_;
  Endpoint address_;
  asio::steady_timer timer_;
  std::uint64_t lease_id_ = 0;
  bool is_unregistered_ = false;
};

// Key prefix of the registered entries.
inline constexpr const char* kEntryKeyPrefix = "dottereltrack/entries/";

// Parses the values under kEntryKeyPrefix as addresses. Skips invalid ones.
std::vector<Endpoint> ParseEntryAddresses(
    const std::map<std::string, std::string>& values);

}  // namespace dottereltrack::pool
