#include "core/pool/link_subset.h"

#include <algorithm>
#include <utility>

#include "core/pool/mix_bits.h"

namespace dottereltrack::pool {
namespace {

constexpr milliseconds kRemoveUnlistedAfter{60'000};

std::uint64_t RankOf(std::uint64_t process, const Endpoint& address) {
  std::uint64_t rank = MixBits(process + kMixIncrement);
  for (const char byte : address.host) {
    rank = MixBits(rank ^ static_cast<unsigned char>(byte));
  }
  return MixBits(rank ^ address.port);
}

bool IsDialDue(const KnownEntry& entry, const Now& now) {
  return !entry.link && !entry.dialing && now.boot >= entry.next_dial_at;
}

bool IsOutdated(const KnownEntry& entry, const Now& now) {
  return !entry.registered && now.boot - entry.seen_at > kRemoveUnlistedAfter;
}

bool IsUsable(const KnownEntry& entry) {
  return entry.link.has_value() || entry.failed_dials == 0;
}

}  // namespace

SubsetChoice ChooseEntries(const Table<KnownEntry>& known,
                           const LinkSubset& subset) {
  std::vector<std::pair<std::uint64_t, const KnownEntry*>> ranked;
  ranked.reserve(known.size());
  const bool is_full = known.size() <= subset.max_links;
  for (const auto& [address, entry] : known) {
    ranked.emplace_back(is_full ? 0 : RankOf(subset.process, address), &entry);
  }
  if (!is_full) std::sort(ranked.begin(), ranked.end());
  SubsetChoice choice;
  std::size_t usable_count = 0;
  for (const auto& [rank, entry] : ranked) {
    const bool is_wanted = usable_count < subset.max_links;
    (is_wanted ? choice.wanted : choice.surplus).push_back(entry);
    if (is_wanted && IsUsable(*entry)) ++usable_count;
  }
  return choice;
}

DialPlan PlanDials(const Table<KnownEntry>& known, const LinkSubset& subset,
                   const Now& now) {
  DialPlan plan;
  for (const auto& [address, entry] : known) {
    if (IsDialDue(entry, now) && IsOutdated(entry, now)) {
      plan.remove.push_back(address);
    }
  }
  const SubsetChoice choice = ChooseEntries(known, subset);
  for (const KnownEntry* entry : choice.wanted) {
    if (!IsDialDue(*entry, now) || IsOutdated(*entry, now)) continue;
    plan.dial.push_back(*entry);
    plan.dial.back().dialing = true;
  }
  for (const KnownEntry* entry : choice.surplus) {
    if (entry->link) plan.surplus.push_back(*entry->link);
  }
  return plan;
}

}  // namespace dottereltrack::pool
