#pragma once

#include <vector>

#include "runtime/settings/entry_settings.h"

namespace dottereltrack {

// Keys for limits on jobs and messages.
std::vector<SettingKey<EntryDaemonSettings>> EntryLimitKeys();

// Keys for timeouts, intervals and retention times.
std::vector<SettingKey<EntryDaemonSettings>> EntryTimeKeys();

// Constraints that involve several keys.
std::vector<SettingRule<EntryDaemonSettings>> EntryRules();

}  // namespace dottereltrack
