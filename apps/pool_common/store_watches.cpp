#include "apps/pool_common/store_watches.h"

#include <utility>

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {
namespace {

using users_platform::StoreResult;
using users_platform::StoreStatus;

// An entry that has crashed stays registered for up to this long.
constexpr milliseconds kLeaseTtl{8'000};
// Leaves time for three attempts before the lease expires.
constexpr milliseconds kRenewInterval{2'000};
// Delay after a failure. An entry is registered again within a second of the
// store's recovery.
constexpr milliseconds kRegistrationRetry{500};

}  // namespace

DependencyLog::DependencyLog(EventLog& log, std::string name)
    : log_(log), name_(std::move(name)) {}

void DependencyLog::NoteResult(bool works, const std::string& problem) {
  if (works == works_) return;
  works_ = works;
  if (works) {
    log_.Write("dependency_regained", {{"dependency", name_}});
  } else {
    log_.Write("dependency_lost",
               {{"dependency", name_}, {"problem", problem}});
  }
}

PrefixWatch::PrefixWatch(asio::io_context& loop,
                         users_platform::StoreClient& store, EventLog& log,
                         Settings settings, Changed changed)
    : store_(store),
      dependency_(log, "watch of " + settings.prefix),
      settings_(std::move(settings)),
      changed_(std::move(changed)),
      timer_(loop) {}

void PrefixWatch::Start() {
  store_.List(settings_.prefix,
              [this](const StoreResult& result) { OnListed(result); });
}

void PrefixWatch::OnListed(const StoreResult& result) {
  if (result.status != StoreStatus::kOk) return Retry(result.message);
  dependency_.NoteResult(true, "");
  values_.clear();
  for (const auto& item : result.view.items) values_[item.key] = item.value;
  as_of_ = result.view.as_of;
  changed_(values_);
  Wait();
}

void PrefixWatch::Wait() {
  store_.Watch(settings_.prefix, as_of_, settings_.wait,
               [this](const StoreResult& result) { OnWatched(result); });
}

void PrefixWatch::OnWatched(const StoreResult& result) {
  if (result.status != StoreStatus::kOk) return Retry(result.message);
  dependency_.NoteResult(true, "");
  for (const auto& item : result.view.items) {
    if (item.removed) {
      values_.erase(item.key);
    } else {
      values_[item.key] = item.value;
    }
  }
  if (result.view.as_of > as_of_) as_of_ = result.view.as_of;
  if (!result.view.items.empty()) changed_(values_);
  Wait();
}

void PrefixWatch::Retry(const std::string& problem) {
  dependency_.NoteResult(false, problem);
  timer_.expires_after(settings_.retry);
  timer_.async_wait([this](const std::error_code& ec) {
    if (!ec) Start();
  });
}

EntryRegistration::EntryRegistration(asio::io_context& loop,
                                     users_platform::StoreClient& store,
                                     EventLog& log, const Endpoint& address)
    : store_(store),
      dependency_(log, "registration of this entry"),
      address_(address),
      timer_(loop) {}

void EntryRegistration::Start() { Grant(); }

void EntryRegistration::Grant() {
  store_.GrantLease(kLeaseTtl, [this](const StoreResult& result) {
    if (result.status != StoreStatus::kOk) {
      dependency_.NoteResult(false, result.message);
      return After(kRegistrationRetry, &EntryRegistration::Grant);
    }
    lease_ = result.lease;
    PutAddress();
  });
}

void EntryRegistration::PutAddress() {
  const std::string text = ToText(address_);
  store_.Put(kEntryPrefix + text, text, lease_,
             [this](const StoreResult& result) {
               if (result.status == StoreStatus::kOk) {
                 dependency_.NoteResult(true, "");
                 return After(kRenewInterval, &EntryRegistration::Renew);
               }
               dependency_.NoteResult(false, result.message);
               After(kRegistrationRetry, result.status == StoreStatus::kGone
                                             ? &EntryRegistration::Grant
                                             : &EntryRegistration::PutAddress);
             });
}

void EntryRegistration::Renew() {
  store_.RenewLease(lease_, [this](const StoreResult& result) {
    if (result.status == StoreStatus::kOk) {
      dependency_.NoteResult(true, "");
      return After(kRenewInterval, &EntryRegistration::Renew);
    }
    dependency_.NoteResult(false, result.message);
    if (result.status == StoreStatus::kGone) {
      return After(milliseconds{0}, &EntryRegistration::Grant);
    }
    After(kRegistrationRetry, &EntryRegistration::Renew);
  });
}

void EntryRegistration::After(milliseconds delay,
                              void (EntryRegistration::*next)()) {
  if (withdrawn_) return;
  timer_.expires_after(delay);
  timer_.async_wait([this, next](const std::error_code& ec) {
    if (!ec) (this->*next)();
  });
}

void EntryRegistration::Withdraw() {
  withdrawn_ = true;
  timer_.cancel();
  if (lease_ != 0) store_.EndLease(lease_, [](const StoreResult&) {});
}

std::vector<Endpoint> ReadEntries(
    const std::map<std::string, std::string>& values) {
  std::vector<Endpoint> entries;
  for (const auto& [key, value] : values) {
    const auto endpoint = ParseEndpoint(value);
    if (endpoint) entries.push_back(*endpoint);
  }
  return entries;
}

}  // namespace dottereltrack::pool
