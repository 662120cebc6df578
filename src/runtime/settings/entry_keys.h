#pragma once

#include <vector>

#include "runtime/settings/entry_settings.h"

namespace dottereltrack {

// Keys for limits on jobs and messages.
std::vector<SettingKey<EntryDaemonSettings>> EntryLimitKeys();

// Keys for timeouts, intervals and retention times.
std::vector<SettingKey<EntryDaemonSettings>> EntryDurationKeys();

// Constraints that involve several keys.
std::vector<SettingConstraint<EntryDaemonSettings>> EntryConstraints();

}  // namespace dottereltrack
