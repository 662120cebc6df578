#pragma once

#include "support/pool_schedule.h"

namespace dottereltrack::testing {

// Applies a step that concerns only a minion.
void ApplyMinionStep(const PoolStep& step, FakeMinion* minion);

}  // namespace dottereltrack::testing
