#include "apps/entry/http_response.h"

namespace dottereltrack {

HttpResponse ToHttpResponse(const ApiReply& reply) {
  HttpResponse response;
  response.status = reply.status;
  response.body = reply.body;
  response.content_type = reply.content_type;
  if (reply.retry_after) SetRetryAfter(*reply.retry_after, &response);
  return response;
}

}  // namespace dottereltrack
