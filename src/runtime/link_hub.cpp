#include "runtime/link_hub.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <utility>

#include "runtime/link.h"
#include "runtime/reception/reception_table.h"

namespace dottereltrack {
namespace {

using asio::ip::tcp;
using DialCallback = std::function<void(std::optional<LinkId>)>;

// Delay before retrying a failed accept, for example when the process has run
// out of file descriptors. An immediate retry would busy-loop.
constexpr milliseconds kAcceptRetryDelay{100};

// An outgoing connection attempt. Its timer closes the socket on timeout.
struct PendingDial {
  PendingDial(asio::io_context& loop, DialCallback callback)
      : socket(loop), timer(loop), done(std::move(callback)) {}
  tcp::socket socket;
  asio::steady_timer timer;
  DialCallback done;
};

std::optional<tcp::endpoint> ToTcpEndpoint(const Endpoint& address) {
  asio::error_code ec;
  const auto ip = asio::ip::make_address(address.host, ec);
  if (ec) return std::nullopt;
  return tcp::endpoint(ip, address.port);
}

}  // namespace

class LinkHub::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, const LinkLimits& limits, LinkHandlers handlers)
      : loop_(loop),
        limits_(limits),
        handlers_(std::move(handlers)),
        acceptor_(loop),
        accept_timer_(loop) {}

  std::optional<std::uint16_t> Listen(const Endpoint& address) {
    const auto endpoint = ToTcpEndpoint(address);
    if (!endpoint || !Bind(*endpoint)) {
      asio::error_code ec;
      acceptor_.close(ec);
      return std::nullopt;
    }
    Accept();
    return acceptor_.local_endpoint().port();
  }

  void Dial(const Endpoint& address, DialCallback done) {
    auto dial = std::make_shared<PendingDial>(loop_, std::move(done));
    const auto endpoint = ToTcpEndpoint(address);
    if (!endpoint || IsAtLinkLimit()) {
      asio::post(loop_, [self = shared_from_this(), dial] {
        if (!self->is_stopped_) dial->done(std::nullopt);
      });
      return;
    }
    ++pending_dial_count_;
    dial->timer.expires_after(limits_.dial_timeout);
    dial->timer.async_wait([dial](asio::error_code ec) {
      asio::error_code ignored;
      if (!ec) dial->socket.close(ignored);
    });
    dial->socket.async_connect(
        *endpoint, [self = shared_from_this(), dial](asio::error_code ec) {
          self->FinishDial(dial.get(), ec);
        });
  }

  Link* Find(LinkId id) {
    const auto it = links_.find(id);
    return it == links_.end() ? nullptr : it->second.get();
  }

  void Stop() {
    is_stopped_ = true;
    handlers_ = {};
    asio::error_code ec;
    acceptor_.close(ec);
    accept_timer_.cancel(ec);
    for (const auto& [id, link] : links_) link->CloseSilently();
    links_.clear();
  }

 private:
  bool IsAtLinkLimit() const {
    return links_.size() + pending_dial_count_ >= limits_.max_links;
  }

  bool Bind(const tcp::endpoint& endpoint) {
    asio::error_code ec;
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.bind(endpoint, ec);
    if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    return !ec;
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](asio::error_code ec, tcp::socket socket) {
          if (self->is_stopped_) return;
          if (ec) return self->RetryAccept();
          // At the connection limit the socket is closed, so that the peer
          // immediately knows to try another process.
          if (!self->IsAtLinkLimit()) self->Add(std::move(socket), false);
          self->Accept();
        });
  }

  void RetryAccept() {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
      if (!ec && !self->is_stopped_) self->Accept();
    });
  }

  void FinishDial(PendingDial* dial, asio::error_code ec) {
    --pending_dial_count_;
    dial->timer.cancel();
    if (is_stopped_) return;
    // The timeout may have closed the socket after the connection succeeded.
    if (ec || !dial->socket.is_open()) return dial->done(std::nullopt);
    dial->done(Add(std::move(dial->socket), true));
  }

  LinkId Add(tcp::socket socket, bool is_known_peer) {
    const LinkId id{next_id_++};
    asio::error_code ec;
    const tcp::endpoint peer = socket.remote_endpoint(ec);
    Link::Handlers handlers;
    handlers.on_frame = [this, id](std::string frame) {
      handlers_.on_frame(id, std::move(frame));
    };
    handlers.on_partial_frame = [this, id] {
      if (handlers_.on_partial_frame) handlers_.on_partial_frame(id);
    };
    handlers.on_closed = [self = shared_from_this(), id] {
      self->links_.erase(id);
      if (self->handlers_.on_closed) self->handlers_.on_closed(id);
    };
    auto link =
        std::make_shared<Link>(std::move(socket), limits_,
                               ReceptionTable::Of(loop_).Add(
                                   peer.address().to_string(ec), is_known_peer),
                               std::move(handlers));
    links_.emplace(id, link);
    link->StartReading();
    return id;
  }

  asio::io_context& loop_;
  LinkLimits limits_;
  LinkHandlers handlers_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::map<LinkId, std::shared_ptr<Link>> links_;
  std::size_t pending_dial_count_ = 0;
  std::uint64_t next_id_ = 1;
  bool is_stopped_ = false;
};

LinkHub::LinkHub(asio::io_context& loop, const LinkLimits& limits,
                 LinkHandlers handlers)
    : impl_(std::make_shared<Impl>(loop, limits, std::move(handlers))) {}

LinkHub::~LinkHub() { impl_->Stop(); }

std::optional<std::uint16_t> LinkHub::Listen(const Endpoint& address) {
  return impl_->Listen(address);
}

void LinkHub::Dial(const Endpoint& address, DialCallback done) {
  impl_->Dial(address, std::move(done));
}

void LinkHub::Send(LinkId link, std::string_view frame) {
  if (Link* it = impl_->Find(link)) it->Send(frame);
}

void LinkHub::Close(LinkId link) {
  if (Link* it = impl_->Find(link)) it->Close();
}

void LinkHub::Abort(LinkId link) {
  if (Link* it = impl_->Find(link)) it->Abort();
}

}  // namespace dottereltrack
