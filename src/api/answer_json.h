#pragma once

#include <string>

#include "api/reply.h"
#include "core/messages.h"

namespace dottereltrack {

// The reply to a caller: the answer, that the job is still open, or a refusal.
// `key` is the job's key where it is known, else empty.
ApiReply RenderReply(const Reply& reply, const std::string& key);

}  // namespace dottereltrack
