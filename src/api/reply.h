#pragma once

#include <boost/outcome/result.hpp>
#include <optional>
#include <string>

#include "core/outcome.h"
#include "core/time.h"

namespace dottereltrack {

// What goes back over HTTP, apart from any HTTP library.
struct ApiReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::optional<milliseconds> retry_after;
  friend bool operator==(const ApiReply&, const ApiReply&) = default;
};

// A value, or why the request for it is refused.
template <typename T>
using ApiResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Refusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// The refusal of a request that cannot be understood. Nothing of it has run.
Refusal InvalidRequest(std::string message);

// HTTP status of a refusal.
int StatusOf(RefusalKind kind);

// A refusal as JSON. It says not_run only if it carries the proof.
ApiReply RenderRefusal(const Refusal& refusal);

// An error of the HTTP interface itself, such as an unknown path.
ApiReply RenderError(int status, const std::string& code,
                     const std::string& message);

// The reply to a body that is above the limit.
ApiReply RenderBodyTooLarge(std::size_t size, std::size_t limit);

}  // namespace dottereltrack
