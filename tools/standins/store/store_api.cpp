#include "store/store_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace dottereltrack::standins {
namespace {

using nlohmann::json;

constexpr milliseconds kDefaultWait{30'000};
constexpr std::size_t kMaxEntries = 32;
// Base64 encoding increases the size by a third.
constexpr std::size_t kMaxTextBytes = kMaxValueBytes / 3 * 4 + 4;

std::optional<std::uint64_t> ToNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value);
  if (text.empty() || ec != std::errc() || stop != end) return std::nullopt;
  return value;
}

std::optional<std::uint64_t> QueryNumber(const Request& request,
                                         const std::string& name) {
  return ToNumber(ValueOf(request.query, name));
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

void Send(const Reply& reply, int status, const json& body) {
  reply({status, body.dump()}, nullptr);
}

void SendError(const Reply& reply, int status, const std::string& message) {
  Send(reply, status, {{"error", message}});
}

json ToJson(const Item& item) {
  if (item.removed) {
    return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
  }
  return {{"key", item.key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

json ToJson(const std::vector<Item>& items) {
  json list = json::array();
  for (const Item& item : items) list.push_back(ToJson(item));
  return list;
}

void SendEvents(const Reply& reply, const std::vector<Item>& events,
                std::uint64_t as_of) {
  Send(reply, 200, {{"events", ToJson(events)}, {"as_of", as_of}});
}

// Throws json::exception if a field is missing or of another type.
Transaction ReadTransaction(const json& body) {
  Transaction transaction;
  for (const json& row : body.at("expected_revision")) {
    transaction.expected_revisions[row.at("key").get<std::string>()] =
        row.at("revision").get<std::uint64_t>();
  }
  for (const json& row : body.at("puts")) {
    Item put;
    put.key = row.at("key").get<std::string>();
    put.value = row.at("value").get<std::string>();
    put.lease = row.at("lease").get<std::uint64_t>();
    transaction.puts.push_back(std::move(put));
  }
  for (const json& key : body.at("remove")) {
    transaction.removals.push_back(key.get<std::string>());
  }
  return transaction;
}

bool IsTooLarge(const Transaction& transaction) {
  return std::any_of(
      transaction.puts.begin(), transaction.puts.end(),
      [](const Item& put) { return put.value.size() > kMaxTextBytes; });
}

}  // namespace

StoreApi::StoreApi(asio::io_context& loop) : loop_(loop) {}

milliseconds StoreApi::Now() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

void StoreApi::RunAfter(milliseconds delay, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait(
      [timer, action = std::move(action)](const std::error_code& ec) {
        if (!ec) action();
      });
}

void StoreApi::Handle(const Request& request, const Reply& reply) {
  if (request.path == "/faults" && request.method == "PUT") {
    return SetFaults(request, reply);
  }
  if (request.path == "/counts" && request.method == "GET") {
    return Send(reply, 200,
                {{"reads", board_.counts.reads},
                 {"watches", board_.counts.watches},
                 {"writes", board_.counts.writes},
                 {"lease_calls", board_.counts.lease_calls},
                 {"waiting_watches", watches_.size()}});
  }
  switch (board_.faults.mode) {
    case FaultMode::kDown:
      return SendError(reply, 503, "the store is down; try again later");
    case FaultMode::kSlow:
      return RunAfter(board_.faults.delay, [this, request, reply] {
        HandleStoreCall(request, reply);
      });
    case FaultMode::kUp:
    case FaultMode::kLoseAnswers:
      return HandleStoreCall(request, reply);
  }
}

void StoreApi::SetFaults(const Request& request, const Reply& reply) {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("mode") ||
      !body["mode"].is_string()) {
    return SendError(reply, 400, "send a JSON object with a mode");
  }
  const auto mode = ParseFaultMode(body["mode"].get<std::string>());
  if (!mode) {
    return SendError(reply, 400, "use mode up, down, slow or lose_answers");
  }
  board_.faults = {*mode, milliseconds(body.value("delay_ms", 0))};
  if (body.value("forget", false)) DropHistory(&board_);
  if (*mode == FaultMode::kDown) EndWatches();
  Send(reply, 200, json::object());
}

void StoreApi::HandleStoreCall(const Request& request, const Reply& reply) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /-/kv-key") return GetItem(request, reply);
  if (call == "GET /-/kv-range") return ListItems(request, reply);
  if (call == "GET /-/kv-watch") return BeginWatch(request, reply);
  if (call == "POST /-/kv-txn") return CommitTransaction(request, reply);
  if (StartsWith(request.path, "/-/kv-lease") ||
      StartsWith(request.path, "/-/kv-keep/")) {
    return HandleLease(request, reply);
  }
  SendError(reply, 404, "no such call");
}

void StoreApi::GetItem(const Request& request, const Reply& reply) {
  ++board_.counts.reads;
  const auto it = board_.items.find(ValueOf(request.query, "key"));
  if (it == board_.items.end()) return SendError(reply, 404, "no such key");
  json answer = ToJson(it->second);
  answer["as_of"] = board_.last_revision;
  Send(reply, 200, answer);
}

void StoreApi::ListItems(const Request& request, const Reply& reply) {
  ++board_.counts.reads;
  const std::string prefix = ValueOf(request.query, "prefix");
  std::vector<Item> items;
  for (const auto& [key, item] : board_.items) {
    if (StartsWith(key, prefix)) items.push_back(item);
  }
  Send(reply, 200,
       {{"items", ToJson(items)},
        {"truncated", false},
        {"as_of", board_.last_revision}});
}

void StoreApi::BeginWatch(const Request& request, const Reply& reply) {
  ++board_.counts.watches;
  const auto after = QueryNumber(request, "after");
  if (!after) return SendError(reply, 400, "name the revision in after");
  const auto watch = std::make_shared<Watch>(
      loop_, ValueOf(request.query, "prefix"), *after, reply);
  watch->timer.expires_after(milliseconds(
      QueryNumber(request, "wait_ms")
          .value_or(static_cast<std::uint64_t>(kDefaultWait.count()))));
  watch->timer.async_wait([this, watch](const std::error_code& ec) {
    if (ec) return;
    watches_.remove(watch);
    SendEvents(watch->reply, {}, board_.last_revision);
  });
  watches_.push_back(watch);
  AnswerWatches();
}

void StoreApi::CommitTransaction(const Request& request, const Reply& reply) {
  ++board_.counts.writes;
  Transaction transaction;
  try {
    transaction = ReadTransaction(json::parse(request.body));
  } catch (const json::exception& error) {
    return SendError(reply, 400, error.what());
  }
  const std::size_t entries = transaction.expected_revisions.size() +
                              transaction.puts.size() +
                              transaction.removals.size();
  if (entries > kMaxEntries) {
    return SendError(reply, 400, "send at most 32 entries");
  }
  if (IsTooLarge(transaction)) {
    return SendError(reply, 400, "send values of at most 1 MB");
  }
  const TransactionStatus status = Commit(&board_, transaction);
  json answer = {{"revision", board_.last_revision}};
  if (status == TransactionStatus::kConflict) {
    std::vector<Item> items;
    for (const auto& [key, revision] : transaction.expected_revisions) {
      const auto it = board_.items.find(key);
      if (it != board_.items.end()) items.push_back(it->second);
    }
    answer = {{"items", ToJson(items)}};
  }
  const int code = status == TransactionStatus::kApplied    ? 200
                   : status == TransactionStatus::kConflict ? 412
                                                            : 404;
  const auto send = [reply, code, answer] { Send(reply, code, answer); };
  if (board_.faults.mode == FaultMode::kLoseAnswers) {
    RunAfter(board_.faults.delay, send);
  } else {
    send();
  }
  AnswerWatches();
}

void StoreApi::HandleLease(const Request& request, const Reply& reply) {
  ++board_.counts.lease_calls;
  if (request.path == "/-/kv-lease") {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("ttl_ms")) {
      return SendError(reply, 400, "name the ttl_ms");
    }
    const milliseconds ttl(body.value("ttl_ms", 0));
    const Lease lease = GrantLease(&board_, ttl, Now());
    ScheduleExpiry(ttl);
    return Send(reply, 200, {{"lease", lease.id}, {"ttl_ms", ttl.count()}});
  }
  const auto id =
      ToNumber(request.path.substr(request.path.find_last_of('/') + 1));
  if (request.method == "DELETE") {
    const bool ended = id && EndLease(&board_, *id);
    AnswerWatches();
    return Send(reply, ended ? 200 : 404, json::object());
  }
  const auto lease = id ? RenewLease(&board_, *id, Now()) : std::nullopt;
  if (!lease) return SendError(reply, 404, "no such lease; grant a new one");
  ScheduleExpiry(lease->ttl);
  Send(reply, 200, {{"ttl_ms", lease->ttl.count()}});
}

void StoreApi::ScheduleExpiry(milliseconds delay) {
  RunAfter(delay, [this] {
    ExpireLeases(&board_, Now());
    AnswerWatches();
  });
}

void StoreApi::AnswerWatches() {
  std::erase_if(watches_, [&](const std::shared_ptr<Watch>& watch) {
    const auto events = ChangesSince(board_, watch->prefix, watch->after);
    if (events && events->empty()) return false;
    watch->timer.cancel();
    if (events) {
      SendEvents(watch->reply, *events, board_.last_revision);
    } else {
      SendError(watch->reply, 410, "this history is no longer available");
    }
    return true;
  });
}

void StoreApi::EndWatches() {
  for (const auto& watch : watches_) {
    watch->timer.cancel();
    SendError(watch->reply, 503, "the store is down; try again later");
  }
  watches_.clear();
}

}  // namespace dottereltrack::standins
