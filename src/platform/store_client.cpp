#include "platform/store_client.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "http_client/http_client.h"
#include "platform/cell_json.h"
#include "platform/store_answers.h"

namespace dottereltrack {
namespace {

// Room for the revision around the largest value.
constexpr std::size_t kMaxResponseBytes = kMaxStoreValueBytes + 1'000;

struct Client {
  Client(asio::io_context& io, const StoreClientSettings& s,
         std::function<void(std::string_view)> r)
      : loop(io),
        settings(s),
        report(std::move(r)),
        http(io, {.max_calls = s.max_calls}) {}

  asio::io_context& loop;
  StoreClientSettings settings;
  std::function<void(std::string_view)> report;
  HttpClient http;
};

using ClientPtr = std::shared_ptr<Client>;

// Turns an answer into a value; see store_answers.h.
template <typename T>
using ReadFunction = std::optional<T> (*)(const HttpResult&, std::string*);

template <typename T>
using ReadDone = std::function<void(std::optional<T>)>;

std::string UrlOf(const StoreClientSettings& settings, const std::string& name,
                  const std::string& query) {
  return "http://" + settings.address.host + ":" +
         std::to_string(settings.address.port) + "/v1/kv/cells/" +
         settings.cell + "/" + name + query;
}

void Report(const Client& client, const std::string& call,
            const std::string& problem) {
  if (client.report && !problem.empty()) {
    client.report(call + " failed: " + problem);
  }
}

template <typename T>
void ReadValue(const ClientPtr& client, const std::string& name,
               ReadFunction<T> read, ReadDone<T> done) {
  HttpCall request;
  request.url = UrlOf(client->settings, name, "");
  request.timeout = client->settings.timeout;
  request.max_response_bytes = kMaxResponseBytes;
  const std::weak_ptr<Client> weak = client;
  client->http.Start(request, [weak, name, read, done = std::move(done)](
                                  const HttpResult& result) {
    std::string problem;
    auto value = read(result, &problem);
    if (const auto self = weak.lock()) Report(*self, "read " + name, problem);
    done(std::move(value));
  });
}

// Calls back with nothing at that time.
template <typename T>
void EndLater(const ClientPtr& client,
              std::chrono::steady_clock::time_point when, ReadDone<T> done) {
  const auto timer = std::make_shared<asio::steady_timer>(client->loop, when);
  timer->async_wait([timer, weak = std::weak_ptr<Client>(client),
                     done = std::move(done)](const std::error_code&) {
    if (weak.lock() != nullptr) done(std::nullopt);
  });
}

template <typename T>
void WatchValue(const ClientPtr& client, const std::string& name,
                std::uint64_t after_revision, ReadFunction<T> read,
                ReadDone<T> done) {
  const auto& settings = client->settings;
  HttpCall request;
  request.url =
      UrlOf(settings, name,
            "?after_revision=" + std::to_string(after_revision) +
                "&wait_ms=" + std::to_string(settings.watch_wait.count()));
  request.timeout = settings.watch_wait + settings.timeout;
  request.max_response_bytes = kMaxResponseBytes;
  const auto earliest_failure =
      std::chrono::steady_clock::now() + settings.failed_watch_delay;
  const std::weak_ptr<Client> weak = client;
  client->http.Start(request,
                     [weak, name, read, after_revision, earliest_failure,
                      done = std::move(done)](const HttpResult& result) {
                       const auto self = weak.lock();
                       if (self == nullptr) return;
                       std::string problem;
                       auto value = read(result, &problem);
                       Report(*self, "watch of " + name, problem);
                       // A store that lost its values answers with an older
                       // revision.
                       if (value && value->revision <= after_revision) {
                         value.reset();
                       }
                       if (value) return done(std::move(value));
                       EndLater<T>(self, earliest_failure, done);
                     });
}

// A repeated write would lose the race against itself and look like a conflict,
// so each write has its own connection, on which libcurl repeats nothing.
void WriteValue(const ClientPtr& client, const std::string& name,
                std::uint64_t expected_revision, std::string value,
                std::function<void(WriteResult)> done) {
  if (value.size() > kMaxStoreValueBytes) {
    Report(*client, "write of " + name,
           "the value exceeds 1 MB; remove entries from it");
    asio::post(client->loop, [done = std::move(done)] {
      done({WriteStatus::kNotApplied, 0});
    });
    return;
  }
  HttpCall request;
  request.method = "PUT";
  request.url =
      UrlOf(client->settings, name,
            "?expected_revision=" + std::to_string(expected_revision));
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(value);
  request.timeout = client->settings.timeout;
  request.fresh_connection = true;
  const std::weak_ptr<Client> weak = client;
  client->http.Start(
      request, [weak, name, done = std::move(done)](const HttpResult& result) {
        const auto written = ClassifyWrite(result);
        const auto self = weak.lock();
        if (self != nullptr && written.status != WriteStatus::kApplied &&
            written.status != WriteStatus::kConflict) {
          Report(*self, "write of " + name,
                 result.end == HttpEnd::kAnswered
                     ? "status " + std::to_string(result.status)
                     : result.message);
        }
        done(written);
      });
}

}  // namespace

Store MakeHttpStore(asio::io_context& loop, const StoreClientSettings& settings,
                    std::function<void(std::string_view)> report) {
  const auto client =
      std::make_shared<Client>(loop, settings, std::move(report));
  Store store;
  store.read_table = [client](ReadDone<StoredTable> done) {
    ReadValue<StoredTable>(client, "table", &ReadTableAnswer, std::move(done));
  };
  store.read_config = [client](ReadDone<StoredConfig> done) {
    ReadValue<StoredConfig>(client, "config", &ReadConfigAnswer,
                            std::move(done));
  };
  store.watch_table = [client](std::uint64_t after,
                               ReadDone<StoredTable> done) {
    WatchValue<StoredTable>(client, "table", after, &ReadTableAnswer,
                            std::move(done));
  };
  store.watch_config = [client](std::uint64_t after,
                                ReadDone<StoredConfig> done) {
    WatchValue<StoredConfig>(client, "config", after, &ReadConfigAnswer,
                             std::move(done));
  };
  store.write_table = [client](std::uint64_t expected, const CellTable& table,
                               std::function<void(WriteResult)> done) {
    WriteValue(client, "table", expected, EncodeCellTable(table),
               std::move(done));
  };
  store.write_config = [client](std::uint64_t expected,
                                const CellConfig& config,
                                std::function<void(WriteResult)> done) {
    WriteValue(client, "config", expected, EncodeCellConfig(config),
               std::move(done));
  };
  return store;
}

}  // namespace dottereltrack
