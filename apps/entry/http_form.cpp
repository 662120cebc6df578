#include "apps/entry/http_form.h"

#include <chrono>
#include <string>

namespace dottereltrack {

HttpResponse ToHttp(const ApiReply& reply) {
  HttpResponse response;
  response.status = reply.status;
  response.body = reply.body;
  response.content_type = reply.content_type;
  if (reply.retry_after) {
    const auto wait = std::chrono::ceil<seconds>(*reply.retry_after);
    response.headers["Retry-After"] = std::to_string(wait.count());
  }
  return response;
}

}  // namespace dottereltrack
