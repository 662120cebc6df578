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
constexpr milliseconds kLeaseRenewInterval{2'000};
// Delay after a failure. An entry is registered again within a second of the
// store's recovery.
constexpr milliseconds kRegistrationRetryDelay{500};

}  // namespace

DependencyLog::DependencyLog(EventLog& log, std::string name)
    : log_(log), name_(std::move(name)) {}

void DependencyLog::RecordResult(bool is_available,
                                 const std::string& problem) {
  if (is_available == is_available_) return;
  is_available_ = is_available;
  if (is_available) {
    log_.Write("dependency_regained", {{"dependency", name_}});
  } else {
    log_.Write("dependency_lost",
               {{"dependency", name_}, {"problem", problem}});
  }
}

PrefixWatch::PrefixWatch(asio::io_context& loop,
                         users_platform::StoreClient& store, EventLog& log,
                         Settings settings, ChangeCallback on_change)
    : store_(store),
      dependency_log_(log, "watch of " + settings.prefix),
      settings_(std::move(settings)),
      on_change_(std::move(on_change)),
      timer_(loop) {}

void PrefixWatch::Start() {
  store_.List(settings_.prefix,
              [this](const StoreResult& result) { OnListResponse(result); });
}

void PrefixWatch::OnListResponse(const StoreResult& result) {
  if (result.status != StoreStatus::kOk) return ScheduleRestart(result.message);
  dependency_log_.RecordResult(true, "");
  values_.clear();
  for (const auto& item : result.view.items) values_[item.key] = item.value;
  as_of_ = result.view.as_of;
  on_change_(values_);
  WatchForChanges();
}

void PrefixWatch::WatchForChanges() {
  store_.Watch(settings_.prefix, as_of_, settings_.max_wait,
               [this](const StoreResult& result) { OnWatchResponse(result); });
}

void PrefixWatch::OnWatchResponse(const StoreResult& result) {
  if (result.status != StoreStatus::kOk) return ScheduleRestart(result.message);
  dependency_log_.RecordResult(true, "");
  for (const auto& item : result.view.items) {
    if (item.is_removed) {
      values_.erase(item.key);
    } else {
      values_[item.key] = item.value;
    }
  }
  if (result.view.as_of > as_of_) as_of_ = result.view.as_of;
  if (!result.view.items.empty()) on_change_(values_);
  WatchForChanges();
}

void PrefixWatch::ScheduleRestart(const std::string& problem) {
  dependency_log_.RecordResult(false, problem);
  timer_.expires_after(settings_.retry_delay);
  timer_.async_wait([this](const std::error_code& ec) {
    if (!ec) Start();
  });
}

EntryRegistration::EntryRegistration(asio::io_context& loop,
                                     users_platform::StoreClient& store,
                                     EventLog& log, const Endpoint& address)
    : store_(store),
      dependency_log_(log, "registration of this entry"),
      address_(address),
      timer_(loop) {}

void EntryRegistration::Start() { RequestLease(); }

void EntryRegistration::RequestLease() {
  store_.GrantLease(kLeaseTtl, [this](const StoreResult& result) {
    if (result.status != StoreStatus::kOk) {
      dependency_log_.RecordResult(false, result.message);
      return ScheduleStep(kRegistrationRetryDelay,
                          &EntryRegistration::RequestLease);
    }
    lease_id_ = result.lease_id;
    PutAddress();
  });
}

void EntryRegistration::PutAddress() {
  const std::string text = ToText(address_);
  store_.Put(kEntryKeyPrefix + text, text, lease_id_,
             [this](const StoreResult& result) {
               if (result.status == StoreStatus::kOk) {
                 dependency_log_.RecordResult(true, "");
                 return ScheduleStep(kLeaseRenewInterval,
                                     &EntryRegistration::SendLeaseRenewal);
               }
               dependency_log_.RecordResult(false, result.message);
               ScheduleStep(kRegistrationRetryDelay,
                            result.status == StoreStatus::kGone
                                ? &EntryRegistration::RequestLease
                                : &EntryRegistration::PutAddress);
             });
}

void EntryRegistration::SendLeaseRenewal() {
  store_.RenewLease(lease_id_, [this](const StoreResult& result) {
    if (result.status == StoreStatus::kOk) {
      dependency_log_.RecordResult(true, "");
      return ScheduleStep(kLeaseRenewInterval,
                          &EntryRegistration::SendLeaseRenewal);
    }
    dependency_log_.RecordResult(false, result.message);
    if (result.status == StoreStatus::kGone) {
      return ScheduleStep(milliseconds{0}, &EntryRegistration::RequestLease);
    }
    ScheduleStep(kRegistrationRetryDelay, &EntryRegistration::SendLeaseRenewal);
  });
}

void EntryRegistration::ScheduleStep(milliseconds delay,
                                     void (EntryRegistration::*next_step)()) {
  if (is_unregistered_) return;
  timer_.expires_after(delay);
  timer_.async_wait([this, next_step](const std::error_code& ec) {
    if (!ec) (this->*next_step)();
  });
}

void EntryRegistration::Unregister() {
  is_unregistered_ = true;
  timer_.cancel();
  if (lease_id_ != 0) store_.EndLease(lease_id_, [](const StoreResult&) {});
}

std::vector<Endpoint> ParseEntryAddresses(
    const std::map<std::string, std::string>& values) {
  std::vector<Endpoint> entries;
  for (const auto& [key, value] : values) {
    const auto endpoint = ParseEndpoint(value);
    if (endpoint) entries.push_back(*endpoint);
  }
  return entries;
}

}  // namespace dottereltrack::pool
