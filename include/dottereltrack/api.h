#pragma once

// Public header of the API library: parses and renders the JSON that callers
// and operators exchange with the processes. It depends on no HTTP library and
// makes no scheduling decisions.

#include "api/agent_routes.h"   // IWYU pragma: export
#include "api/agent_views.h"    // IWYU pragma: export
#include "api/announcement.h"   // IWYU pragma: export
#include "api/answer_json.h"    // IWYU pragma: export
#include "api/job_json.h"       // IWYU pragma: export
#include "api/metrics.h"        // IWYU pragma: export
#include "api/operator_json.h"  // IWYU pragma: export
#include "api/reply.h"          // IWYU pragma: export
#include "api/routes.h"         // IWYU pragma: export
#include "api/state_json.h"     // IWYU pragma: export
#include "api/status_json.h"    // IWYU pragma: export
