#pragma once

#include <optional>
#include <string>

#include "http_client/http_types.h"
#include "platform/store.h"

namespace dottereltrack {

// Classifies the end of a compare-and-swap. Only a proof that the store did not
// take the value gives kNotApplied; 409 gives kConflict; whatever may have
// reached the store without a clear answer gives kUndecided.
WriteResult ClassifyWrite(const HttpResult& result);

// The store's answer to a read or a watch. A missing value (404) has revision
// 0. Nothing if the store gave no usable answer; `problem` then says why, or is
// empty if a watch has ended without a change (204).
std::optional<StoredTable> ReadTableAnswer(const HttpResult& result,
                                           std::string* problem);
std::optional<StoredConfig> ReadConfigAnswer(const HttpResult& result,
                                             std::string* problem);

}  // namespace dottereltrack
