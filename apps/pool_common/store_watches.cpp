#include "apps/pool_common/store_watches.h"

#include <utility>

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {
namespace {

using users_platform::StoreItem;
using users_platform::StoreResult;
using users_platform::StoreStatus;

// An entry that has crashed stays registered for up to this long.
constexpr milliseconds kLeaseTtl{8'000};
// Leaves time for three attempts before the lease expires.
constexpr milliseconds kLeaseRenewInterval{2'000};
// Delay after a failure. An entry is registered again within a second of the
// store's recovery.
constexpr milliseconds kRegistrationRetryDelay{500};

// Bounds the memory for keys that another program has written.
constexpr std::size_t kMaxReportedKeys = 1'000;
constexpr std::size_t kMaxLoggedKeyBytes = 200;

// An address of an entry that other processes can connect to.
std::optional<Endpoint> ParseEntryAddress(const std::string& value) {
  auto endpoint = ParseEndpoint(value);
  if (endpoint && endpoint->port == 0) endpoint.reset();
  return endpoint;
}

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
                         Settings settings, ChangeCallback on_change,
                         RefusalCallback on_refusal)
    : store_(store),
      dependency_log_(log, "watch of " + settings.prefix),
      settings_(std::move(settings)),
      on_change_(std::move(on_change)),
      on_refusal_(std::move(on_refusal)),
      timer_(loop) {}

void PrefixWatch::Start() {
  store_.List(settings_.prefix,
              [this](const StoreResult& result) { OnListResponse(result); });
}

void PrefixWatch::OnListResponse(const StoreResult& result) {
  const bool is_available = result.status == StoreStatus::kOk;
  dependency_log_.RecordResult(is_available, result.message);
  if (!is_available) return ScheduleRestart();
  items_.clear();
  for (const auto& item : result.view.items) ApplyItem(item);
  as_of_ = result.view.as_of;
  ReportItems();
  WatchForChanges();
}

void PrefixWatch::WatchForChanges() {
  store_.Watch(settings_.prefix, as_of_, settings_.max_wait,
               [this](const StoreResult& result) { OnWatchResponse(result); });
}

void PrefixWatch::OnWatchResponse(const StoreResult& result) {
  const bool is_available = result.status == StoreStatus::kOk;
  dependency_log_.RecordResult(is_available, result.message);
  if (!is_available) return ScheduleRestart();
  for (const auto& item : result.view.items) ApplyItem(item);
  if (result.view.as_of > as_of_) as_of_ = result.view.as_of;
  if (!result.view.items.empty()) ReportItems();
  // Which key such a change concerns shows in a new list only.
  if (users_platform::HasItemWithoutKey(result.view.items)) {
    return ScheduleRestart();
  }
  WatchForChanges();
}

void PrefixWatch::ReportItems() const {
  users_platform::StoreView view;
  view.as_of = as_of_;
  for (const auto& [key, item] : items_) view.items.push_back(item);
  on_change_(view);
}

void PrefixWatch::ApplyItem(const StoreItem& item) {
  // An item whose key cannot be read may be any.
  if (settings_.is_used && !item.key.empty() && !settings_.is_used(item.key)) {
    return;
  }
  std::string problem = item.problem;
  if (problem.empty() && !item.is_removed && settings_.find_problem) {
    problem = settings_.find_problem(item);
  }
  if (!problem.empty()) {
    items_.erase(item.key);
    return ReportRefusal(item.key, problem);
  }
  refused_keys_.erase(item.key);
  if (item.is_removed) {
    items_.erase(item.key);
  } else {
    items_[item.key] = item;
  }
}

void PrefixWatch::ReportRefusal(const std::string& key,
                                const std::string& problem) {
  if (refused_keys_.size() >= kMaxReportedKeys) return;
  if (!refused_keys_.insert(key).second) return;
  on_refusal_({Severity::kFailure,
               "store_item_refused",
               0,
               {{"prefix", settings_.prefix},
                {"key", key.substr(0, kMaxLoggedKeyBytes)},
                {"problem", problem}},
               {}});
}

void PrefixWatch::ScheduleRestart() {
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

std::string FindAddressProblem(const StoreItem& item) {
  if (ParseEntryAddress(item.value)) return {};
  return "the value is not an address; write IP:PORT with a port from 1 to "
         "65535";
}

std::vector<Endpoint> ParseEntryAddresses(
    const users_platform::StoreView& view) {
  std::vector<Endpoint> entries;
  for (const StoreItem& item : view.items) {
    const auto endpoint = ParseEntryAddress(item.value);
    if (endpoint) entries.push_back(*endpoint);
  }
  return entries;
}

}  // namespace dottereltrack::pool
