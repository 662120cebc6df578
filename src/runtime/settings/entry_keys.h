#pragma once

#include <vector>

#include "runtime/settings/entry_settings.h"

namespace dottereltrack {

// Keys for the limits on jobs and messages.
std::vector<SettingKey<EntryDaemonSettings>> EntryLimitKeys();

// Keys for the times of the decisions.
std::vector<SettingKey<EntryDaemonSettings>> EntryTimeKeys();

// Limits between keys.
std::vector<SettingRule<EntryDaemonSettings>> EntryRules();

}  // namespace dottereltrack
