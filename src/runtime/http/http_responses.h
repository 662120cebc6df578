#pragma once

#include <cstddef>

#include "runtime/http/http_server.h"

namespace dottereltrack {

// Returns the reason phrase of a status line.
const char* ReasonPhrase(int status);

// Response to a request whose body exceeds the limit, both in bytes.
HttpResponse BodyTooLarge(std::size_t size, std::size_t limit);

// Ends a request whose client has closed the connection, which nobody reads.
HttpResponse ClientHasLeft();

}  // namespace dottereltrack
