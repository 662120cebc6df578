#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/cell.h"

namespace dottereltrack {

// Parses "IP:PORT", with an IPv6 address in brackets. Host names are rejected,
// since the processes connect by IP address.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

std::string ToText(const Endpoint& endpoint);

}  // namespace dottereltrack
