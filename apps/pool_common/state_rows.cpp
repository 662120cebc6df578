#include "apps/pool_common/state_rows.h"

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {

nlohmann::json RowOfKnownEntry(const KnownEntry& entry, const Now& now) {
  return {{"address", ToText(entry.address)},
          {"registered", entry.registered},
          {"linked", entry.link.has_value()},
          {"dialing", entry.dialing},
          {"seen_ms_ago", AgeOf(entry.seen_at, now)}};
}

}  // namespace dottereltrack::pool
