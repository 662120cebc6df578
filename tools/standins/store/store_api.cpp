#include "store/store_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace dottereltrack::standins {
namespace {

using nlohmann::json;

const char* const kKeyPrefix = "/v1/kv/";
const char* const kLeasePrefix = "/v1/leases";

constexpr milliseconds kDefaultWait{30'000};

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

void SendValue(const Reply& reply, const StoredValue& value) {
  reply({200, R"({"revision":)" + std::to_string(value.revision) +
                  R"(,"value":)" + value.json + "}"},
        nullptr);
}

}  // namespace

StoreApi::StoreApi(asio::io_context& loop) : loop_(loop) {}

milliseconds StoreApi::Now() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

void StoreApi::After(milliseconds delay, std::function<void()> action) {
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
      return After(board_.faults.delay,
                   [this, request, reply] { HandleStoreCall(request, reply); });
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
  const auto it = body.find("delay_ms");
  const bool has_delay = it != body.end() && it->is_number_unsigned();
  board_.faults = {*mode, milliseconds(has_delay ? it->get<int>() : 0)};
  if (*mode == FaultMode::kDown) EndWatches();
  Send(reply, 200, json::object());
}

void StoreApi::HandleStoreCall(const Request& request, const Reply& reply) {
  if (StartsWith(request.path, kKeyPrefix)) return HandleKey(request, reply);
  if (StartsWith(request.path, kLeasePrefix)) {
    return HandleLease(request, reply);
  }
  SendError(reply, 404, "use /v1/kv/{key} or /v1/leases");
}

void StoreApi::HandleKey(const Request& request, const Reply& reply) {
  const auto key = request.path.substr(std::string(kKeyPrefix).size());
  if (request.method == "GET") return GetValue(key, request, reply);
  if (request.method == "PUT") return PutValue(key, request, reply);
  SendError(reply, 405, "use GET or PUT");
}

void StoreApi::GetValue(const std::string& key, const Request& request,
                        const Reply& reply) {
  const auto after = QueryNumber(request, "after_revision");
  ++(after ? board_.counts.watches : board_.counts.reads);
  const auto it = board_.values.find(key);
  const auto revision = RevisionOf(board_, key);
  if (!after) {
    if (it == board_.values.end()) return SendError(reply, 404, "no value");
    return SendValue(reply, it->second);
  }
  if (revision > *after) return SendValue(reply, it->second);
  const auto watch = std::make_shared<Watch>(loop_, key, *after, reply);
  const auto wait_ms = QueryNumber(request, "wait_ms");
  watch->timer.expires_after(wait_ms ? milliseconds(*wait_ms) : kDefaultWait);
  watch->timer.async_wait([this, watch](const std::error_code& ec) {
    if (ec) return;
    watches_.remove(watch);
    watch->reply({204}, nullptr);
  });
  watches_.push_back(watch);
}

void StoreApi::PutValue(const std::string& key, const Request& request,
                        const Reply& reply) {
  ++board_.counts.writes;
  const auto expected = QueryNumber(request, "expected_revision");
  if (!expected) return SendError(reply, 400, "name the expected_revision");
  if (request.body.size() > kMaxValueBytes) {
    return SendError(reply, 413, "send a value of at most 1 MB");
  }
  if (!json::accept(request.body)) {
    return SendError(reply, 400, "send the value as JSON");
  }
  const auto lease = QueryNumber(request, "lease").value_or(0);
  const auto result = Put(&board_, key, *expected, request.body, lease);
  const auto answer = [reply, result] {
    const int status = result.status == PutStatus::kApplied    ? 200
                       : result.status == PutStatus::kConflict ? 409
                                                               : 404;
    Send(reply, status, {{"revision", result.revision}});
  };
  if (board_.faults.mode == FaultMode::kLoseAnswers) {
    After(board_.faults.delay, answer);
  } else {
    answer();
  }
  if (result.status == PutStatus::kApplied) NotifyWatches(key);
}

void StoreApi::HandleLease(const Request& request, const Reply& reply) {
  ++board_.counts.lease_calls;
  if (request.method == "POST") {
    const auto ttl = QueryNumber(request, "ttl_ms");
    if (!ttl) return SendError(reply, 400, "name the ttl_ms");
    const auto lease = GrantLease(&board_, milliseconds(*ttl), Now());
    ScheduleExpiry(lease.ttl);
    return Send(reply, 200, {{"lease", lease.id}});
  }
  const auto prefix = std::string(kLeasePrefix) + "/";
  const auto id = StartsWith(request.path, prefix)
                      ? ToNumber(request.path.substr(prefix.size()))
                      : std::nullopt;
  const auto lease = id ? RenewLease(&board_, *id, Now()) : std::nullopt;
  if (request.method != "PUT" || !lease) {
    return SendError(reply, 404, "no such lease; grant a new one");
  }
  ScheduleExpiry(lease->ttl);
  Send(reply, 200, {{"lease", lease->id}});
}

void StoreApi::ScheduleExpiry(milliseconds delay) {
  After(delay, [this] { ExpireLeases(&board_, Now()); });
}

void StoreApi::NotifyWatches(const std::string& key) {
  const auto& value = board_.values.at(key);
  std::erase_if(watches_, [&](const std::shared_ptr<Watch>& watch) {
    if (watch->key != key || watch->after_revision >= value.revision) {
      return false;
    }
    watch->timer.cancel();
    SendValue(watch->reply, value);
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
