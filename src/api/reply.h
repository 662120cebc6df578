#pragma once

#include <boost/outcome/result.hpp>
#include <optional>
#include <string>

#include "core/outcome.h"
#include "core/time.h"

namespace dottereltrack {

// An HTTP response, independent of any HTTP library.
struct ApiReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::optional<milliseconds> retry_after;
  friend bool operator==(const ApiReply&, const ApiReply&) = default;
};

// A value, or the refusal to return to the caller.
template <typename T>
using ApiResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Refusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Builds the refusal of a request that cannot be parsed. It carries the proof
// that no task of the request has run.
Refusal InvalidRequest(std::string message);

// Returns the HTTP status for a refusal.
int HttpStatusFor(RefusalKind kind);

// Renders a refusal as JSON. The outcome is not_run only if the refusal carries
// the proof that nothing has run, otherwise unknown.
ApiReply RenderRefusal(const Refusal& refusal);

// Renders an error of the HTTP interface itself, such as an unknown path.
ApiReply RenderError(int status, const std::string& code,
                     const std::string& message);

// Builds the 413 reply to a request body above the size limit.
ApiReply RenderBodyTooLarge(std::size_t size, std::size_t limit);

}  // namespace dottereltrack
