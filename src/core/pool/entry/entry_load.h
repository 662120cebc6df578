#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Returns the load of the event loop, from 0 to 1: the share of time in which
// it is busy, or the lateness of its timer, whichever is higher.
double LoopPressure(const LoopLoadMeasured& load,
                    const EntrySettings& settings);
// Whether the entry counts as overloaded. The thresholds to enter and to leave
// differ.
bool IsOverloadedAt(double pressure, bool was_overloaded,
                    const EntrySettings& settings);
// Share of its jobs, from 0 to 1, that an overloaded entry is to forward.
double ForwardShare(double pressure, const EntrySettings& settings);
// Number of jobs to offer to each of `peers` overloaded entries.
std::uint32_t JobsToOffer(double pressure, std::size_t peers,
                          const EntrySettings& settings);

// Records the load of the event loop and decides whether this entry is
// overloaded.
EntryChanges HandleLoopLoad(const EntryBoard& board, const LoopLoadMeasured& e);
// Records the offer of a peer, or that it is overloaded.
EntryChanges HandleEntryLoad(const EntryBoard& board, LinkId link,
                             const EntryLoad& message);

// Sets the share from which on the entry counts as overloaded, and the other
// thresholds in proportion.
void SetOverloadShare(double share, EntrySettings* settings);

// Interval between two load reports of an agent that this entry asks for; 0 if
// the agents' own interval is short enough for its processor.
milliseconds WantedReportInterval(std::size_t agents, bool is_overloaded,
                                  const EntrySettings& settings);
// Asks agents for fewer load reports if the processor is small or overloaded,
// and for their usual ones when it is not any more.
EntryChanges AdjustReportIntervals(const EntryBoard& board);

// Number of open jobs that another entry owns.
std::size_t CountForwardedJobs(const EntryBoard& board);
// Number of jobs that the peers still take.
std::uint64_t CountOfferedJobs(const EntryBoard& board);

// Tells the peers that this entry has become overloaded, or is no longer.
EntryChanges AnnounceOverload(const EntryBoard& board);
// Sends offers to overloaded peers, on change and at a bounded rate.
EntryChanges OfferCapacity(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
