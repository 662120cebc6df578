#include "runtime/settings/endpoint_text.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace dottereltrack {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon + 1 == text.size()) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool in_brackets =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (in_brackets) host = host.substr(1, host.size() - 2);
  asio::error_code ec;
  const auto address = asio::ip::make_address(std::string(host), ec);
  if (ec || address.is_v6() != in_brackets) return std::nullopt;

  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, port);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return Endpoint{std::string(host), port};
}

std::string ToText(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.host.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + endpoint.host + "]" : endpoint.host;
  return host + ":" + std::to_string(endpoint.port);
}

}  // namespace dottereltrack
