#pragma once

// Public header of the HTTP client library: asynchronous requests on an Asio
// loop by libcurl. It moves bytes and decides nothing.

#include "http_client/http_client.h"  // IWYU pragma: export
#include "http_client/http_types.h"   // IWYU pragma: export
