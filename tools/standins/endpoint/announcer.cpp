#include "endpoint/announcer.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace dottereltrack::standins {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{1'000};
// Announcements are repeated because a restarted agent does not know its
// minion.
constexpr std::chrono::milliseconds kReannounceInterval{2'000};

std::string ToHexText(std::uint64_t value) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%016llx",
                static_cast<unsigned long long>(value));  // NOLINT
  return buf;
}

std::string MakeAnnouncement(const EndpointOptions& options, std::uint16_t port,
                             std::uint64_t instance) {
  const nlohmann::json body = {
      {"name", options.name},
      {"instance", ToHexText(instance)},
      {"address", {{"host", options.host}, {"port", port}}},
      {"path", "/run"},
      {"labels", options.labels},
      {"slots", options.slots},
      {"connections", options.connections},
      {"memory_bytes", options.memory_bytes},
      {"accelerators", options.accelerators},
      {"rack", options.rack},
      {"data_centre", options.data_centre}};
  return body.dump();
}

HttpCall PostTo(const std::string& url, const std::string& body) {
  HttpCall call;
  call.method = "POST";
  call.url = url;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = body;
  return call;
}

bool IsAccepted(const HttpResult& result) {
  return result.status >= 200 && result.status < 300;
}

}  // namespace

Announcer::Announcer(asio::io_context& loop, const EndpointOptions& options,
                     std::uint16_t port, std::uint64_t instance)
    : http_(loop),
      timer_(loop),
      agent_url_(options.agent.empty() ? "" : "http://" + options.agent),
      announcement_(MakeAnnouncement(options, port, instance)) {}

void Announcer::Start() {
  if (!agent_url_.empty()) Announce();
}

void Announcer::Announce() {
  http_.Start(PostTo(agent_url_ + "/v1/announce", announcement_),
              [this](const HttpResult& result) {
                if (is_leaving_) return;
                timer_.expires_after(IsAccepted(result) ? kReannounceInterval
                                                        : kRetryInterval);
                timer_.async_wait([this](const std::error_code& ec) {
                  if (!ec) Announce();
                });
              });
}

void Announcer::Leave(std::function<void()> done) {
  is_leaving_ = true;
  timer_.cancel();
  if (agent_url_.empty()) return done();
  http_.Start(PostTo(agent_url_ + "/v1/leave", announcement_),
              [done = std::move(done)](const HttpResult&) { done(); });
}

}  // namespace dottereltrack::standins
