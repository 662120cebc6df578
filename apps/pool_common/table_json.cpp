#include "apps/pool_common/table_json.h"

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {

nlohmann::json KnownEntryToJson(const KnownEntry& entry, const Now& now) {
  return {{"address", ToText(entry.address)},
          {"registered", entry.registered},
          {"linked", entry.link.has_value()},
          {"dialing", entry.dialing},
          {"failed_dials", entry.failed_dials},
          {"seen_ms_ago", AgeMs(entry.seen_at, now)}};
}

}  // namespace dottereltrack::pool
