#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "http/server.h"
#include "store/store_board.h"

namespace dottereltrack::standins {

// HTTP interface of the store of the users' platform, on top of a StoreBoard:
//   GET    /-/kv-key?key=                   an item, or 404
//   GET    /-/kv-range?prefix=              items, in one page
//   GET    /-/kv-watch?prefix=&after=&wait_ms=  events, 410 if dropped
//   POST   /-/kv-txn                        revision, 412 or 404
//   POST   /-/kv-lease, /-/kv-keep/{id}     lease, 404 if it has ended
//   DELETE /-/kv-lease-end/{id}
// and for tests:
//   PUT    /faults                          {"mode", "delay_ms", "forget"}
//   GET    /counts                          calls by kind
class StoreApi {
 public:
  explicit StoreApi(asio::io_context& loop);
  void Handle(const Request& request, const Reply& reply);

 private:
  // An open call that waits for a change.
  struct Watch {
    Watch(asio::io_context& loop, std::string watched, std::uint64_t revision,
          Reply to)
        : prefix(std::move(watched)),
          after(revision),
          reply(std::move(to)),
          timer(loop) {}
    std::string prefix;
    std::uint64_t after;
    Reply reply;
    asio::steady_timer timer;
  };

  milliseconds Now() const;
  void RunAfter(milliseconds delay, std::function<void()> action);
  void SetFaults(const Request& request, const Reply& reply);
  void HandleStoreCall(const Request& request, const Reply& reply);
  void GetItem(const Request& request, const Reply& reply);
  void ListItems(const Request& request, const Reply& reply);
  void BeginWatch(const Request& request, const Reply& reply);
  void CommitTransaction(const Request& request, const Reply& reply);
  void HandleLease(const Request& request, const Reply& reply);
  void ScheduleExpiry(milliseconds delay);
  // Answers the watches that have events or whose history is gone.
  void AnswerWatches();
  void EndWatches();

  asio::io_context& loop_;
  StoreBoard board_;
  std::list<std::shared_ptr<Watch>> watches_;
};

}  // namespace dottereltrack::standins
