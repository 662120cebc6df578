#pragma once

// Public header of the HTTP client library: asynchronous requests by libcurl on
// an Asio event loop. It only transports bytes and makes no scheduling
// decisions.

#include "http_client/http_client.h"  // IWYU pragma: export
#include "http_client/http_types.h"   // IWYU pragma: export
