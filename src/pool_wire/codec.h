#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>

#include "core/pool/messages.h"

namespace dottereltrack::pool {

// Why a frame was not accepted. The message says what to do.
struct FrameError {
  std::string message;
  friend bool operator==(const FrameError&, const FrameError&) = default;
};

using FrameResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    Message, FrameError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Payload of one frame, without the length prefix.
std::string EncodeFrame(const Message& message);

// Decodes one frame of a sender that is not trusted.
FrameResult DecodeFrame(std::string_view frame);

}  // namespace dottereltrack::pool
