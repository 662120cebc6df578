#pragma once

#include <functional>
#include <string>

#include "apps/ctl/command.h"
#include "http_client/http_types.h"

namespace dottereltrack {

// Carries out one HTTP call and waits for its end.
using CallHttp = std::function<HttpResult(const HttpCall&)>;

// Carries out a command. Returns what is to be printed, and the exit code.
EarlyExit RunCtl(const CtlCommand& command, const std::string& token,
                 const CallHttp& call);

}  // namespace dottereltrack
