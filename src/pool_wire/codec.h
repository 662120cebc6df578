#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>

#include "core/pool/messages.h"

namespace dottereltrack::pool {

// Reason why a frame was rejected, with advice for the operator.
struct FrameError {
  std::string message;
  friend bool operator==(const FrameError&, const FrameError&) = default;
};

using FrameResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    Message, FrameError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Returns the payload of one frame, without the length prefix.
std::string EncodeFrame(const Message& message);

// Decodes one frame from an untrusted sender.
FrameResult DecodeFrame(std::string_view frame);

}  // namespace dottereltrack::pool
