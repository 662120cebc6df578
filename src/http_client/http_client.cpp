#include "http_client/http_client.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <utility>

#include "http_client/curl_call.h"

namespace dottereltrack {
namespace {

// A libcurl socket whose readiness the event loop monitors. libcurl owns and
// closes the descriptor.
struct ObservedSocket {
  ObservedSocket(asio::io_context& loop, curl_socket_t socket)
      : descriptor(loop, socket), fd(socket) {}
  ~ObservedSocket() { Release(); }
  ObservedSocket(const ObservedSocket&) = delete;
  ObservedSocket& operator=(const ObservedSocket&) = delete;

  // Ends the monitoring; pending waits are cancelled.
  void Release() {
    if (descriptor.is_open()) descriptor.release();
  }

  asio::posix::stream_descriptor descriptor;
  curl_socket_t fd;
  // Events that libcurl waits for: CURL_POLL_IN, CURL_POLL_OUT or both.
  int requested_events = 0;
  bool is_read_wait_pending = false;
  bool is_write_wait_pending = false;
};

void InitialiseCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(code);
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, const HttpClientLimits& limits)
      : loop_(loop), limits_(limits), timer_(loop) {
    InitialiseCurl();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(
        multi_, CURLMOPT_MAXCONNECTS,
        static_cast<long>(limits.max_idle_connections));  // NOLINT
  }

  ~Impl() {
    for (const auto& [id, call] : calls_) {
      curl_multi_remove_handle(multi_, call->easy.get());
    }
    calls_.clear();
    curl_multi_cleanup(multi_);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  HttpCallId Start(const HttpCall& request,
                   std::function<void(HttpResult)> on_done) {
    const HttpCallId id{next_id_++};
    if (calls_.size() + refused_calls_.size() >= limits_.max_calls) {
      Refuse(id, std::move(on_done));
      return id;
    }
    auto call = MakeCurlCall(id, request, std::move(on_done));
    auto* easy = call->easy.get();
    calls_.emplace(id, std::move(call));
    // libcurl sets its timer in this call and starts the transfer when the
    // timer fires.
    curl_multi_add_handle(multi_, easy);
    return id;
  }

  void Cancel(HttpCallId id) {
    refused_calls_.erase(id);
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    curl_multi_remove_handle(multi_, it->second->easy.get());
    calls_.erase(it);
  }

 private:
  static int OnSocket(CURL* /*easy*/, curl_socket_t fd, int events,
                      void* user_data, void* /*socket_data*/) {
    static_cast<Impl*>(user_data)->UpdateSocket(fd, events);
    return 0;
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms,  // NOLINT
                     void* user_data) {
    static_cast<Impl*>(user_data)->SetTimer(timeout_ms);
    return 0;
  }

  void UpdateSocket(curl_socket_t fd, int events) {
    if (events == CURL_POLL_REMOVE) {
      const auto it = sockets_.find(fd);
      if (it == sockets_.end()) return;
      // libcurl closes the socket next, and a new one may get its number. A
      // later release would end the monitoring of that one.
      it->second->Release();
      sockets_.erase(it);
      return;
    }
    auto& socket = sockets_[fd];
    if (socket == nullptr) socket = std::make_shared<ObservedSocket>(loop_, fd);
    socket->requested_events = events;
    StartMissingWaits(socket);
  }

  // Starts an asynchronous wait for each event that libcurl asks for and that
  // has no pending wait.
  void StartMissingWaits(const std::shared_ptr<ObservedSocket>& socket) {
    if ((socket->requested_events & CURL_POLL_IN) != 0 &&
        !socket->is_read_wait_pending) {
      socket->is_read_wait_pending = true;
      StartWait(socket, CURL_CSELECT_IN);
    }
    if ((socket->requested_events & CURL_POLL_OUT) != 0 &&
        !socket->is_write_wait_pending) {
      socket->is_write_wait_pending = true;
      StartWait(socket, CURL_CSELECT_OUT);
    }
  }

  void StartWait(const std::shared_ptr<ObservedSocket>& socket, int direction) {
    const auto kind = direction == CURL_CSELECT_IN
                          ? asio::posix::stream_descriptor::wait_read
                          : asio::posix::stream_descriptor::wait_write;
    socket->descriptor.async_wait(
        kind, [weak = weak_from_this(), weak_socket = std::weak_ptr(socket),
               direction](const std::error_code& ec) {
          const auto self = weak.lock();
          const auto ready = weak_socket.lock();
          if (self == nullptr || ready == nullptr) return;
          self->OnReady(ready, direction, ec);
        });
  }

  void OnReady(const std::shared_ptr<ObservedSocket>& socket, int direction,
               const std::error_code& ec) {
    const bool is_read = direction == CURL_CSELECT_IN;
    (is_read ? socket->is_read_wait_pending : socket->is_write_wait_pending) =
        false;
    if (ec == asio::error::operation_aborted) return;
    const int poll_event = is_read ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((socket->requested_events & poll_event) == 0) return;
    const int flags = ec ? CURL_CSELECT_ERR : direction;
    ProcessSocketAction(socket->fd, flags);
    const auto it = sockets_.find(socket->fd);
    if (it != sockets_.end() && it->second == socket) StartMissingWaits(socket);
  }

  void SetTimer(std::int64_t timeout_ms) {
    timer_.cancel();
    if (timeout_ms < 0) return;
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait([weak = weak_from_this()](const std::error_code& ec) {
      const auto self = weak.lock();
      if (ec || self == nullptr) return;
      self->ProcessSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void ProcessSocketAction(curl_socket_t fd, int flags) {
    int running = 0;
    curl_multi_socket_action(multi_, fd, flags, &running);
    int queued = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &queued)) {
      if (message->msg == CURLMSG_DONE) {
        // Finish() removes the handle, which invalidates the message.
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* easy, CURLcode code) {
    CurlCall* found = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &found);
    const auto it = calls_.find(found->id);
    if (it == calls_.end()) return;
    const auto call = std::move(it->second);
    calls_.erase(it);
    auto result = MakeHttpResult(*call, code);
    curl_multi_remove_handle(multi_, easy);
    call->on_done(std::move(result));
  }

  void Refuse(HttpCallId id, std::function<void(HttpResult)> on_done) {
    refused_calls_.emplace(id, std::move(on_done));
    asio::post(loop_, [weak = weak_from_this(), id] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      const auto it = self->refused_calls_.find(id);
      if (it == self->refused_calls_.end()) return;
      const auto callback = std::move(it->second);
      self->refused_calls_.erase(it);
      callback({HttpEnd::kRefused,
                0,
                {},
                "too many calls in flight; raise max_calls or call later"});
    });
  }

  asio::io_context& loop_;
  HttpClientLimits limits_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  std::uint64_t next_id_ = 1;
  std::map<HttpCallId, std::unique_ptr<CurlCall>> calls_;
  std::map<HttpCallId, std::function<void(HttpResult)>> refused_calls_;
  std::map<curl_socket_t, std::shared_ptr<ObservedSocket>> sockets_;
};

HttpClient::HttpClient(asio::io_context& loop, const HttpClientLimits& limits)
    : impl_(std::make_shared<Impl>(loop, limits)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Start(const HttpCall& request,
                             std::function<void(HttpResult)> on_done) {
  return impl_->Start(request, std::move(on_done));
}

void HttpClient::Cancel(HttpCallId call) { impl_->Cancel(call); }

}  // namespace dottereltrack
