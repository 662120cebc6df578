#pragma once

#include <functional>
#include <string>

#include "apps/ctl/command.h"
#include "http_client/http_types.h"

namespace dottereltrack {

// Performs an HTTP call and blocks until it ends.
using CallHttp = std::function<HttpResult(const HttpCall&)>;

// Executes a command. Returns the output to print and the exit code.
EarlyExit RunCtl(const CtlCommand& command, const std::string& token,
                 const CallHttp& call);

}  // namespace dottereltrack
