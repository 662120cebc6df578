#pragma once

#include "api/reply.h"
#include "runtime/http/http_server.h"

namespace dottereltrack {

// The reply as an HTTP response, with a Retry-After in whole seconds.
HttpResponse ToHttp(const ApiReply& reply);

}  // namespace dottereltrack
