#include "runtime/http/http_server.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <exception>
#include <restinio/all.hpp>
#include <set>
#include <unordered_map>
#include <utility>

#include "runtime/http/connection_sockets.h"
#include "runtime/http/http_responses.h"
#include "runtime/http/metered_socket.h"
#include "runtime/reception/reception_table.h"

namespace dottereltrack {
namespace {

// A header of 16,384 bytes may consist of this many fields.
constexpr std::size_t kMaxHeaderFields = 4'096;

// Must be greater than 1: with one request per connection RESTinio does not
// read while a request is handled and detects a closed connection only on
// write.
constexpr std::size_t kMaxPipelinedRequests = 4;

// RESTinio does not read from a connection with kMaxPipelinedRequests
// unanswered requests, so the end of such a connection is looked for at this
// interval.
constexpr milliseconds kClosedCheckInterval{500};

// Connections beyond the limit are accepted, so that the reception table can
// close others for them. Above this number, further ones wait.
constexpr std::size_t kSpareConnections = 32;

// The shortest form of a request apart from names, values and the body.
constexpr std::size_t kMinRequestLineBytes = 13;
constexpr std::size_t kMinFieldBytes = 3;

// Tracks the sockets of open connections, and calls `on_accepted` and
// `on_closed` with the id of each connection.
struct ConnectionListener {
  std::function<void(std::uint64_t, const asio::ip::tcp::endpoint&)>
      on_accepted;
  std::function<void(std::uint64_t)> on_closed;
  std::shared_ptr<ConnectionSockets> sockets;

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            cause)) {
      sockets->AddLastMoved(notice.connection_id());
      on_accepted(notice.connection_id(), notice.remote_endpoint());
    } else if (restinio::holds_alternative<
                   restinio::connection_state::closed_t>(cause)) {
      sockets->Remove(notice.connection_id());
      on_closed(notice.connection_id());
    }
  }
};

struct Traits : restinio::default_single_thread_traits_t {
  // RESTinio requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
  using connection_state_listener_t = ConnectionListener;
  // NOLINTNEXTLINE(readability-identifier-naming)
  using stream_socket_t = MeteredSocket;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

HttpRequest ReadRequest(const restinio::request_t& source) {
  HttpRequest request;
  request.connection = source.connection_id();
  request.method = source.header().method().c_str();
  request.path = std::string(source.header().path());
  source.header().for_each_field([&](const auto& field) {
    request.headers[LowerCase(field.name())] = field.value();
  });
  request.body = source.body();
  return request;
}

// Responses passed to RESTinio but not yet sent.
struct PendingResponses {
  std::size_t unsent_count = 0;
  std::function<void()> on_all_sent;
};

void NotifyIfAllSent(PendingResponses& pending) {
  if (pending.unsent_count == 0 && pending.on_all_sent) {
    std::exchange(pending.on_all_sent, nullptr)();
  }
}

using CounterHandle = std::shared_ptr<ReceptionCounter>;

// Counts a response as unsent until the returned object is destroyed. The
// destructor is used because RESTinio destroys the completion callback without
// calling it if the connection is closed.
std::shared_ptr<void> TrackResponse(
    const std::shared_ptr<PendingResponses>& pending,
    const CounterHandle& counter, std::size_t bytes) {
  ++pending->unsent_count;
  if (counter) counter->AddUnsent(bytes);
  return {nullptr, [pending, counter, bytes](void*) {
            if (counter) counter->CompleteResponse(bytes);
            --pending->unsent_count;
            NotifyIfAllSent(*pending);
          }};
}

// A request whose response is awaited. Holds no bytes of the request.
struct PendingRequest {
  restinio::response_builder_t<restinio::restinio_controlled_output_t> builder;
  bool should_keep_alive = true;
  CounterHandle counter;
};

// Shared by all copies of the replier, so that only one response is sent; null
// once it has been.
using PendingHandle = std::shared_ptr<std::shared_ptr<PendingRequest>>;

std::shared_ptr<PendingRequest> MakePendingRequest(
    const restinio::request_handle_t& request, CounterHandle counter) {
  const bool should_keep_alive = request->header().should_keep_alive();
  return std::make_shared<PendingRequest>(PendingRequest{
      request->create_response(), should_keep_alive, std::move(counter)});
}

// Returns the least number of bytes in which the request can have arrived.
std::size_t MinReceivedBytes(const restinio::request_t& request) {
  std::size_t bytes =
      kMinRequestLineBytes +
      std::char_traits<char>::length(request.header().method().c_str()) +
      request.header().request_target().size() + request.body().size();
  request.header().for_each_field([&](const auto& field) {
    bytes += field.name().size() + field.value().size() + kMinFieldBytes;
  });
  if (const auto* chunks = request.chunked_input_info()) {
    // Each chunk has a size of at least one digit and two line ends.
    bytes += 5 * (chunks->chunk_count() + 1);
  }
  return bytes;
}

void WriteResponse(PendingRequest& request, HttpResponse response,
                   std::shared_ptr<void> completion_tracker) {
  auto& builder = request.builder;
  builder.header().status_line(restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
      ReasonPhrase(response.status)});
  builder.append_header(restinio::http_field::content_type,
                        response.content_type);
  for (const auto& [name, value] : response.headers) {
    builder.append_header(name, value);
  }
  builder.set_body(std::move(response.body));
  if (response.close || !request.should_keep_alive) {
    builder.connection_close();
  }
  builder.done([completion_tracker =
                    std::move(completion_tracker)](const asio::error_code&) {});
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& loop, const HttpLimits& limits, HttpHandlers handlers)
      : loop_(loop),
        limits_(limits),
        handlers_(std::move(handlers)),
        reception_(ReceptionTable::Of(loop)),
        check_timer_(loop) {}

  std::optional<std::uint16_t> Listen(const Endpoint& address) {
    std::uint16_t port = 0;
    try {
      server_ = std::make_unique<restinio::http_server_t<Traits>>(
          restinio::external_io_context(loop_),
          [&](auto& settings) { Configure(address, &port, settings); });
      server_->open_sync();
    } catch (const std::exception&) {
      server_.reset();
      return std::nullopt;
    }
    return port;
  }

  void StopListening() {
    if (server_) server_->close_sync();
  }

  bool IsConnected(std::uint64_t connection) const {
    return sockets_->IsOpen(connection);
  }

  void NotifyWhenAllSent(std::function<void()> done) {
    pending_responses_->on_all_sent = std::move(done);
    NotifyIfAllSent(*pending_responses_);
  }

 private:
  template <typename Settings>
  void Configure(const Endpoint& address, std::uint16_t* port,
                 Settings& settings) {
    settings.address(address.host)
        .port(address.port)
        .max_pipelined_requests(kMaxPipelinedRequests)
        .read_next_http_message_timelimit(limits_.read_timeout)
        .write_http_response_timelimit(limits_.write_timeout)
        .handle_request_timeout(limits_.reply_timeout)
        .max_parallel_connections(limits_.max_connections + kSpareConnections)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(limits_.max_header_bytes)
                .max_field_name_size(limits_.max_header_bytes)
                // RESTinio refuses a value of this size.
                .max_field_value_size(limits_.max_header_bytes + 1)
                .max_field_count(kMaxHeaderFields)
                .max_body_size(2 * limits_.max_body_bytes))
        .acceptor_post_bind_hook([port](asio::ip::tcp::acceptor& acceptor) {
          *port = acceptor.local_endpoint().port();
        })
        .connection_state_listener(
            std::make_shared<ConnectionListener>(ConnectionListener{
                [this](std::uint64_t connection,
                       const asio::ip::tcp::endpoint& peer) {
                  OnAccepted(connection, peer);
                },
                [this](std::uint64_t connection) { OnClosed(connection); },
                sockets_}))
        .request_handler([this](const restinio::request_handle_t& request) {
          return HandleRequest(request);
        });
  }

  void OnAccepted(std::uint64_t connection,
                  const asio::ip::tcp::endpoint& peer) {
    asio::error_code ec;
    auto counter = reception_.Add(peer.address().to_string(ec), false);
    counters_[connection] = counter;
    reception_.OfferCounter(std::move(counter));
  }

  void OnClosed(std::uint64_t connection) {
    const auto it = counters_.find(connection);
    if (it != counters_.end()) {
      it->second->Remove();
      counters_.erase(it);
    }
    pending_requests_.erase(connection);
    if (ended_.erase(connection) == 0) NotifyDisconnect(connection);
  }

  void NotifyDisconnect(std::uint64_t connection) {
    if (handlers_.on_disconnect) handlers_.on_disconnect(connection);
  }

  // Forgets answered requests. Returns the number of the others.
  static std::size_t CountUnanswered(
      std::vector<std::weak_ptr<std::shared_ptr<PendingRequest>>>* requests) {
    std::erase_if(*requests, [](const auto& it) {
      const PendingHandle request = it.lock();
      return !request || !*request;
    });
    return requests->size();
  }

  void AddPending(std::uint64_t connection, const PendingHandle& request) {
    auto& requests = pending_requests_[connection];
    requests.push_back(request);
    if (CountUnanswered(&requests) >= kMaxPipelinedRequests) {
      ScheduleClosedCheck();
    }
  }

  void ScheduleClosedCheck() {
    if (is_check_scheduled_) return;
    is_check_scheduled_ = true;
    check_timer_.expires_after(kClosedCheckInterval);
    check_timer_.async_wait([this](const asio::error_code& ec) {
      if (ec) return;
      is_check_scheduled_ = false;
      EndClosedConnections();
    });
  }

  // Ends the connections that RESTinio does not read and whose clients have
  // left.
  void EndClosedConnections() {
    std::vector<std::uint64_t> closed;
    for (auto& [connection, requests] : pending_requests_) {
      if (CountUnanswered(&requests) < kMaxPipelinedRequests) continue;
      if (sockets_->IsOpen(connection)) {
        ScheduleClosedCheck();
      } else {
        closed.push_back(connection);
      }
    }
    for (const std::uint64_t connection : closed) EndConnection(connection);
  }

  void EndConnection(std::uint64_t connection) {
    // The handler drops the replies of a connection that has ended.
    std::vector<PendingHandle> requests;
    for (const auto& it : pending_requests_[connection]) {
      requests.push_back(it.lock());
    }
    ended_.insert(connection);
    NotifyDisconnect(connection);
    // The responses make RESTinio close the connection.
    for (const PendingHandle& it : requests) {
      if (*it) Respond(std::exchange(*it, nullptr), ClientHasLeft());
    }
  }

  CounterHandle FindCounter(std::uint64_t connection) const {
    const auto it = counters_.find(connection);
    return it == counters_.end() ? nullptr : it->second;
  }

  restinio::request_handling_status_t HandleRequest(
      const restinio::request_handle_t& request) {
    CounterHandle counter = FindCounter(request->connection_id());
    if (counter) counter->CompleteRequest(MinReceivedBytes(*request));
    const std::size_t size = request->body().size();
    if (size > limits_.max_body_bytes) {
      const auto& make_response = handlers_.on_body_too_large;
      Respond(MakePendingRequest(request, std::move(counter)),
              make_response ? make_response(size, limits_.max_body_bytes)
                            : BodyTooLarge(size, limits_.max_body_bytes));
      return restinio::request_accepted();
    }
    HttpRequest received = ReadRequest(*request);
    if (counter) received.source = counter->source();
    const auto pending = std::make_shared<std::shared_ptr<PendingRequest>>(
        MakePendingRequest(request, std::move(counter)));
    AddPending(request->connection_id(), pending);
    handlers_.on_request(
        std::move(received), [this, pending](HttpResponse response) {
          if (!*pending) return;
          Respond(std::exchange(*pending, nullptr), std::move(response));
        });
    return restinio::request_accepted();
  }

  void Respond(const std::shared_ptr<PendingRequest>& request,
               HttpResponse response) {
    auto tracker = TrackResponse(pending_responses_, request->counter,
                                 response.body.size());
    WriteResponse(*request, std::move(response), std::move(tracker));
  }

  asio::io_context& loop_;
  HttpLimits limits_;
  HttpHandlers handlers_;
  std::shared_ptr<PendingResponses> pending_responses_ =
      std::make_shared<PendingResponses>();
  std::shared_ptr<ConnectionSockets> sockets_ =
      std::make_shared<ConnectionSockets>();
  ReceptionTable& reception_;
  std::unordered_map<std::uint64_t, CounterHandle> counters_;
  // The last unanswered requests of each connection, at most as many as
  // RESTinio reads. Their replies are owned by the handler.
  std::unordered_map<
      std::uint64_t,
      std::vector<std::weak_ptr<std::shared_ptr<PendingRequest>>>>
      pending_requests_;
  // Connections whose end has been notified and that RESTinio has not closed
  // yet.
  std::set<std::uint64_t> ended_;
  asio::steady_timer check_timer_;
  bool is_check_scheduled_ = false;
  std::unique_ptr<restinio::http_server_t<Traits>> server_;
};

HttpServer::HttpServer(asio::io_context& loop, const HttpLimits& limits,
                       HttpHandlers handlers)
    : impl_(std::make_unique<Impl>(loop, limits, std::move(handlers))) {}

HttpServer::~HttpServer() = default;

std::optional<std::uint16_t> HttpServer::Listen(const Endpoint& address) {
  return impl_->Listen(address);
}

void HttpServer::StopListening() { impl_->StopListening(); }

bool HttpServer::IsConnected(std::uint64_t connection) const {
  return impl_->IsConnected(connection);
}

void HttpServer::NotifyWhenAllSent(std::function<void()> done) {
  impl_->NotifyWhenAllSent(std::move(done));
}

}  // namespace dottereltrack
