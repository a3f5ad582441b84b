#pragma once

#include "common/error.h"
#include "control/peermessages.h"

#include <string>
#include <string_view>

namespace monsoonspool::codec {

// Maximum size of one message between daemons.
constexpr std::size_t MaxPeerMessageBytes = 1024 * 1024;

// Encodes `message` as the CBOR array [version, kind, body].
std::string encodePeerMessage(const control::PeerMessage &message);

// Decodes a message. Fails with MalformedMessage if it exceeds MaxPeerMessageBytes, is
// not CBOR, has another version or an unknown kind, or lacks a key.
Result<control::PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace monsoonspool::codec
