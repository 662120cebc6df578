#pragma once

#include <string>

#include "api/reply.h"
#include "core/messages.h"

namespace dottereltrack {

// Builds the HTTP reply to a caller: the job's answer, a notice that the job is
// still open, or a refusal. `key` is the job's idempotency key, or empty if it
// is not known.
ApiReply RenderReply(const Reply& reply, const std::string& key);

}  // namespace dottereltrack
