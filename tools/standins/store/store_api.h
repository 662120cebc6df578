#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <string>

#include "http/server.h"
#include "store/store_board.h"

namespace dottereltrack::standins {

// The store's HTTP interface over its board:
//   GET  /v1/kv/{key}                         {revision, value} or 404
//   GET  /v1/kv/{key}?after_revision=&wait_ms=  the same once it is newer, 204
//   PUT  /v1/kv/{key}?expected_revision=[&lease=]  {revision} or 409
//   POST /v1/leases?ttl_ms=                   {lease}
//   PUT  /v1/leases/{id}                      renews; 404 if it has expired
//   PUT  /faults                              {"mode", "delay_ms"}
//   GET  /counts                              calls by kind
class StoreApi {
 public:
  explicit StoreApi(asio::io_context& loop);
  void Handle(const Request& request, const Reply& reply);

 private:
  // A call that waits for a newer value.
  struct Watch {
    Watch(asio::io_context& loop, std::string watched_key, std::uint64_t after,
          Reply to)
        : key(std::move(watched_key)),
          after_revision(after),
          reply(std::move(to)),
          timer(loop) {}
    std::string key;
    std::uint64_t after_revision;
    Reply reply;
    asio::steady_timer timer;
  };

  milliseconds Now() const;
  void After(milliseconds delay, std::function<void()> action);
  void SetFaults(const Request& request, const Reply& reply);
  void HandleStoreCall(const Request& request, const Reply& reply);
  void HandleKey(const Request& request, const Reply& reply);
  void HandleLease(const Request& request, const Reply& reply);
  void GetValue(const std::string& key, const Request& request,
                const Reply& reply);
  void PutValue(const std::string& key, const Request& request,
                const Reply& reply);
  void NotifyWatches(const std::string& key);
  void EndWatches();
  void ScheduleExpiry(milliseconds delay);

  asio::io_context& loop_;
  StoreBoard board_;
  std::list<std::shared_ptr<Watch>> watches_;
};

}  // namespace dottereltrack::standins
