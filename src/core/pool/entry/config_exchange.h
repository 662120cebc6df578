#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// How entries learn of a configuration from each other: an entry announces its
// version, the others request the text if the store does not bring it, and the
// text is the answer. See docs/design/configuration.md.

// Adopts a configuration that is newer than the one in force.
EntryChanges HandleConfigRead(const EntryBoard& board, const ConfigRead& e);
// The text that an entry or agent has sent cannot be read.
EntryChanges HandleConfigRefused(const EntryBoard& board,
                                 const ConfigRefused& e, const Now& now);
EntryChanges HandleConfigAnnouncement(const EntryBoard& board, LinkId link,
                                      const ConfigAnnouncement& message);
EntryChanges HandleConfigRequest(const EntryBoard& board, LinkId link,
                                 const Now& now);
// Records that the requested text has arrived and is being read.
EntryChanges HandleConfigOffer(const EntryBoard& board, LinkId link,
                               const ConfigOffer& message, const Now& now);

// Announces the version in force on each link on which it has not been
// announced.
EntryChanges AnnounceConfig(const EntryBoard& board, const Now& now);
// Requests a newer configuration from one entry or agent at a time, if the
// store has not brought it in time.
EntryChanges FetchConfig(const EntryBoard& board, const Now& now);
// Sends the text to those that have requested it, one transfer at a time.
EntryChanges ServeConfig(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
