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
  void NoteResult(bool works, const std::string& problem);

 private:
  EventLog& log_;
  std::string name_;
  bool works_ = true;
};

// Watches the keys with a prefix: lists all of them, then waits for changes,
// and lists them again after a failure.
class PrefixWatch {
 public:
  struct Settings {
    std::string prefix;
    // Maximum duration of one long poll.
    milliseconds wait{0};
    // Delay after a failure.
    milliseconds retry{0};
  };
  // Called with all keys and their values after each change.
  using Changed =
      std::function<void(const std::map<std::string, std::string>&)>;

  PrefixWatch(asio::io_context& loop, users_platform::StoreClient& store,
              EventLog& log, Settings settings, Changed changed);
  void Start();

 private:
  void Wait();
  void OnListed(const users_platform::StoreResult& result);
  void OnWatched(const users_platform::StoreResult& result);
  void Retry(const std::string& problem);

  users_platform::StoreClient& store_;
  DependencyLog dependency_;
  Settings settings_;
  Changed changed_;
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
  void Withdraw();

 private:
  void Grant();
  void PutAddress();
  void Renew();
  void After(milliseconds delay, void (EntryRegistration::*next)());

  users_platform::StoreClient& store_;
  DependencyLog dependency_;
  Endpoint address_;
  asio::steady_timer timer_;
  std::uint64_t lease_ = 0;
  bool withdrawn_ = false;
};

// Key prefix of the registered entries.
inline constexpr const char* kEntryPrefix = "dottereltrack/entries/";

// Parses the values under kEntryPrefix as addresses. Skips invalid ones.
std::vector<Endpoint> ReadEntries(
    const std::map<std::string, std::string>& values);

}  // namespace dottereltrack::pool
