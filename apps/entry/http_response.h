#pragma once

#include "api/reply.h"
#include "runtime/http/http_server.h"

namespace dottereltrack {

// Converts a reply to an HTTP response. A retry delay becomes a Retry-After
// header in whole seconds.
HttpResponse ToHttpResponse(const ApiReply& reply);

}  // namespace dottereltrack
