#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/cell.h"
#include "core/pool/decision.h"
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
// and lists them again after a failure. A key whose item cannot be read counts
// as absent; the other keys hold.
class PrefixWatch {
 public:
  struct Settings {
    std::string prefix;
    // Maximum duration of one long poll.
    milliseconds max_wait{0};
    // Delay after a failure, and before the keys are listed again because a
    // change cannot be read.
    milliseconds retry_delay{0};
    // Returns why an item cannot be used, or an empty string. May be empty.
    std::function<std::string(const users_platform::StoreItem&)> find_problem{};
    // Whether a key is used; others are ignored without a log line. Uses all
    // keys if empty.
    std::function<bool(const std::string&)> is_used{};
  };
  // Called after each change with all usable items, ordered by key, and the
  // revision at which these were all.
  using ChangeCallback = std::function<void(const users_platform::StoreView&)>;

  // Called with a decision for the log when an item is refused, once for each
  // key until a usable item replaces it.
  using RefusalCallback = std::function<void(const Decision&)>;

  PrefixWatch(asio::io_context& loop, users_platform::StoreClient& store,
              EventLog& log, Settings settings, ChangeCallback on_change,
              RefusalCallback on_refusal);
  void Start();

 private:
  void WatchForChanges();
  void OnListResponse(const users_platform::StoreResult& result);
  void OnWatchResponse(const users_platform::StoreResult& result);
  void ApplyItem(const users_platform::StoreItem& item);
  void ReportRefusal(const std::string& key, const std::string& problem);
  void ReportItems() const;
  void ScheduleRestart();

  users_platform::StoreClient& store_;
  DependencyLog dependency_log_;
  Settings settings_;
  ChangeCallback on_change_;
  RefusalCallback on_refusal_;
  asio::steady_timer timer_;
  std::map<std::string, users_platform::StoreItem> items_;
  // Keys whose refused items have been reported.
  std::set<std::string> refused_keys_;
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

// Returns why a value under kEntryKeyPrefix is not the address of an entry, or
// an empty string if it is.
std::string FindAddressProblem(const users_platform::StoreItem& item);

// Parses the values under kEntryKeyPrefix as addresses. Skips invalid ones.
std::vector<Endpoint> ParseEntryAddresses(
    const users_platform::StoreView& view);

}  // namespace dottereltrack::pool
