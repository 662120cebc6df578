#include "http/server.h"

#include <algorithm>
#include <cctype>
#include <exception>
#include <restinio/all.hpp>
#include <utility>

namespace dottereltrack::standins {
namespace {

using Traits = restinio::default_single_thread_traits_t;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

Request ReadRequest(const restinio::request_t& source) {
  Request request;
  request.method = source.header().method().c_str();
  request.path = std::string(source.header().path());
  // RFC 3986 allows '/' in a query, but the default traits reject it.
  const auto query =
      restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
          source.header().query());
  if (query) {
    for (const auto& [name, value] : *query) {
      request.query[std::string(name)] = std::string(value);
    }
  }
  source.header().for_each_field([&](const auto& field) {
    request.headers[LowerCase(field.name())] = field.value();
  });
  request.body = source.body();
  return request;
}

void Send(const restinio::request_handle_t& request, Response response,
          std::function<void()> sent) {
  auto builder = request->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
      response.status < 400 ? "OK" : "Error"});
  builder.append_header(restinio::http_field::content_type, "application/json");
  // A 204 response must not have a body or a Content-Length.
  if (response.status != 204) builder.set_body(std::move(response.body));
  if (!request->header().should_keep_alive()) builder.connection_close();
  if (!sent) {
    builder.done();
    return;
  }
  builder.done([sent = std::move(sent)](const asio::error_code&) { sent(); });
}

}  // namespace

class Server::Impl {
 public:
  Impl(asio::io_context& loop, const ServerLimits& limits, Handler handler)
      : loop_(loop), limits_(limits), handler_(std::move(handler)) {}

  std::optional<std::uint16_t> Listen(const std::string& host,
                                      std::uint16_t port) {
    std::uint16_t bound = 0;
    try {
      server_ = std::make_unique<restinio::http_server_t<>>(
          restinio::external_io_context(loop_), [&](auto& settings) {
            settings.address(host)
                .port(port)
                .handle_request_timeout(limits_.reply_timeout)
                .incoming_http_msg_limits(
                    restinio::incoming_http_msg_limits_t{}.max_body_size(
                        limits_.max_body_bytes))
                .acceptor_post_bind_hook(
                    [&bound](asio::ip::tcp::acceptor& acceptor) {
                      bound = acceptor.local_endpoint().port();
                    })
                .request_handler(
                    [this](const restinio::request_handle_t& request) {
                      return Handle(request);
                    });
          });
      server_->open_sync();
    } catch (const std::exception&) {
      server_.reset();
      return std::nullopt;
    }
    return bound;
  }

 private:
  restinio::request_handling_status_t Handle(
      const restinio::request_handle_t& request) {
    const auto pending = std::make_shared<restinio::request_handle_t>(request);
    handler_(ReadRequest(*request),
             [pending](Response response, std::function<void()> sent) {
               if (*pending == nullptr) return;
               Send(std::exchange(*pending, nullptr), std::move(response),
                    std::move(sent));
             });
    return restinio::request_accepted();
  }

  asio::io_context& loop_;
  ServerLimits limits_;
  Handler handler_;
  std::unique_ptr<restinio::http_server_t<>> server_;
};

Server::Server(asio::io_context& loop, const ServerLimits& limits,
               Handler handler)
    : impl_(std::make_unique<Impl>(loop, limits, std::move(handler))) {}

Server::~Server() = default;

std::optional<std::uint16_t> Server::Listen(const std::string& host,
                                            std::uint16_t port) {
  return impl_->Listen(host, port);
}

std::string ValueOf(const std::map<std::string, std::string>& fields,
                    const std::string& name) {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

}  // namespace dottereltrack::standins
