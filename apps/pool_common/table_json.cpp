#include "apps/pool_common/table_json.h"

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {

nlohmann::json EvacuationToJson(const EvacuationRow& evacuation,
                                const Now& now) {
  nlohmann::json row = {{"data_centre", evacuation.state.data_centre},
                        {"revision", evacuation.state.revision},
                        {"active", evacuation.state.is_active}};
  if (evacuation.ended_at) {
    row["ended_ms_ago"] = AgeMs(*evacuation.ended_at, now);
  }
  return row;
}

nlohmann::json KnownEntryToJson(const KnownEntry& entry, const Now& now) {
  return {{"address", ToText(entry.address)},
          {"registered", entry.registered},
          {"linked", entry.link.has_value()},
          {"dialing", entry.dialing},
          {"failed_dials", entry.failed_dials},
          {"seen_ms_ago", AgeMs(entry.seen_at, now)}};
}

}  // namespace dottereltrack::pool
