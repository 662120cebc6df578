#include "runtime/reception/reception.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "runtime/reception/reception_table.h"

namespace dottereltrack {
namespace {

constexpr ReceptionLimits kLimits{1'000'000, 300'000, 500'000,
                                  200'000,   4,       1'000'000};
constexpr BootTime kNow = seconds{1'000};

constexpr std::size_t kHeader = 16'384;
// Chunks of one byte, and their carriage returns with those of the header.
constexpr std::size_t kChunks = 65'536;
constexpr std::size_t kLines = 2 * kChunks + 300;

// A connection with an unfinished request of `memory` estimated bytes.
ReceptionRow Unfinished(std::uint64_t id, std::string source,
                        std::size_t memory, milliseconds age) {
  ReceptionRow row;
  row.id = id;
  row.source = std::move(source);
  row.received_bytes = memory / 2;
  row.memory_bytes = memory;
  row.unfinished_since = kNow - age;
  return row;
}

ReceptionRow Idle(std::uint64_t id, milliseconds age, bool has_sent_request) {
  ReceptionRow row;
  row.id = id;
  row.source = "a";
  row.idle_since = kNow - age;
  row.has_sent_request = has_sent_request;
  return row;
}

ReceptionRow Awaiting(ReceptionRow row) {
  row.open_requests = 1;
  return row;
}

ReceptionRow Known(ReceptionRow row) {
  row.is_known_peer = true;
  return row;
}

ReceptionRow Unread(std::uint64_t id, std::size_t unsent_bytes) {
  ReceptionRow row = Idle(id, seconds{0}, true);
  row.unsent_bytes = unsent_bytes;
  return row;
}

struct Row {
  std::string load;
  std::vector<ReceptionRow> rows;
  std::vector<ConnectionToClose> closed;
};

std::vector<Row> Rows() {
  using R = CloseReason;
  const milliseconds young{100};
  const milliseconds old{4'000};
  return {
      {"single requests within the limits",
       {Unfinished(1, "a", 290'000, old), Idle(2, milliseconds{14'900}, false)},
       {}},
      {"a request above the share of a connection, also with an open call",
       {Awaiting(Unfinished(1, "a", 300'001, young))},
       {{1, R::kConnectionShare}}},
      {"a header of 3,000 ms, and a request that stalls",
       {Unfinished(1, "a", 100, milliseconds{3'000}),
        Unfinished(2, "a", 100, milliseconds{5'100})},
       {{2, R::kTooSlow}}},
      {"a large body at a low rate above the minimum",
       {Unfinished(1, "a", 200'000, seconds{25})},
       {}},
      {"a stalled second request while the first is answered",
       {Awaiting(Unfinished(1, "a", 100, seconds{60}))},
       {}},
      {"one source with many requests: its oldest large one is closed",
       {Unfinished(1, "a", 200'000, young), Unfinished(2, "a", 200'000, old),
        Unfinished(3, "a", 150'000, young), Unfinished(4, "b", 100'000, old)},
       {{2, R::kSourceShare}}},
      {"many sources: the largest source is closed first",
       {Unfinished(1, "a", 250'000, young), Unfinished(2, "a", 210'000, old),
        Unfinished(3, "b", 290'000, old), Unfinished(4, "c", 290'000, young)},
       {{2, R::kBudget}, {3, R::kBudget}}},
      {"frames of known peers are not closed for strangers",
       {Known(Unfinished(1, "a", 900'000, seconds{60})),
        Unfinished(2, "b", 200'000, young)},
       {{2, R::kBudget}}},
      {"clients that do not read: strangers before known peers",
       {Known(Unread(1, 150'000)), Unread(2, 40'000), Unread(3, 60'000)},
       {{3, R::kUnreadResponses}, {2, R::kUnreadResponses}}},
      {"responses below the limit, however old",
       {Unread(1, 100'000), Unread(2, 100'000)},
       {}},
      {"too many connections: those idle for too long, then unfinished ones",
       {Idle(1, milliseconds{14'000}, true),
        Idle(2, milliseconds{16'000}, true), Unfinished(3, "a", 100, young),
        Unfinished(4, "a", 100, young), Awaiting(Idle(5, seconds{0}, true)),
        Idle(6, young, false)},
       {{2, R::kTooManyConnections}, {3, R::kTooManyConnections}}},
      {"too many connections that may be idle: the newest is closed",
       {Idle(1, young, true), Idle(2, young, true), Idle(3, young, true),
        Idle(4, young, true), Idle(5, young, false)},
       {{5, R::kTooManyConnections}}},
      {"known links do not count as connections",
       {Known(Idle(1, young, true)), Idle(2, young, true), Idle(3, young, true),
        Idle(4, young, true), Idle(5, young, true)},
       {}},
  };
}

}  // namespace

// Guards against clients that take the memory or the connections of a process,
// and against limits that close connections of other clients.
TEST_CASE("the connections to close depend on the load", "[reception]") {
  for (const Row& row : Rows()) {
    CAPTURE(row.load);
    std::vector<std::string> closed;
    std::vector<std::string> expected;
    for (const auto& it : FindConnectionsToClose(row.rows, kLimits, kNow)) {
      closed.push_back(std::to_string(it.id) + " " + ToString(it.reason));
    }
    for (const auto& it : row.closed) {
      expected.push_back(std::to_string(it.id) + " " + ToString(it.reason));
    }
    CHECK(closed == expected);
  }
}

// Guards against shares that a single request within the limits exceeds.
TEST_CASE("a request within the limits fits the smallest machine",
          "[reception]") {
  struct Body {
    std::string content;
    ReceivedBytes received;
  };
  const auto row = GENERATE_COPY(values<Body>(
      {{"262,144 bytes in one piece", {262'144 + kHeader, 0, 300}},
       {"262,144 line ends", {262'144 + kHeader, 262'144, 262'144}},
       {"64 KiB in chunks of one byte",
        {6 * kChunks + kHeader, kLines, kLines}},
       {"64 KiB in chunks of one byte with extensions of 100 bytes",
        {106 * kChunks + kHeader, kLines, kLines}},
       {"a header of shortest fields", {kHeader, 4'096, 4'096}}}));
  CAPTURE(row.content);
  const auto limits = DeriveReceptionLimits(0, 3'500, 262'144);
  CHECK(EstimateMemory(row.received, limits.max_kept_bytes) <=
        limits.max_connection_bytes);
  CHECK(limits.max_connection_bytes <= limits.max_source_bytes);
}

// Guards against counts that do not return to zero, which would close
// connections without a cause later.
TEST_CASE("the table counts what is unfinished", "[reception]") {
  asio::io_context loop(1);
  ReceptionTable& table = ReceptionTable::Of(loop);
  std::vector<CloseReason> closed;
  table.SetLimits(kLimits, [&](const ClosedConnection& it) {
    closed.push_back(it.reason);
  });
  const auto first = table.Add("a", false);
  const auto second = table.Add("a", false);
  int close_calls = 0;
  first->Open([&](const ReceptionRow&) { ++close_calls; });
  second->Open([&](const ReceptionRow&) { ++close_calls; });
  first->AddReceived("GET / HTTP/1.1\r\n\r\n");
  CHECK(table.memory_bytes() > 0);
  first->CompleteRequest(16);
  CHECK(table.memory_bytes() == 0);
  first->AddUnsent(100);
  first->CompleteResponse(100);
  CHECK(table.unsent_bytes() == 0);
  second->SetKnownPeer();
  second->SetLinkBytes(10, 20);
  second->Remove();
  first->AddReceived(std::string(400'000, 'x'));
  CHECK(first->is_closing());
  CHECK(close_calls == 1);
  CHECK(closed == std::vector<CloseReason>{CloseReason::kConnectionShare});
  CHECK(table.CountClosed(CloseReason::kConnectionShare) == 1);
  CHECK(table.memory_bytes() == 0);
  CHECK(table.unsent_bytes() == 0);
}

}  // namespace dottereltrack
