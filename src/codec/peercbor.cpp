#include "codec/peercbor.h"

#include "codec/json.h"
#include "codec/typejson.h"

#include <utility>

namespace monsoonspool::codec {

namespace {

constexpr int ProtocolVersion = 1;

// Decodes `body` as the alternative of PeerMessage with the index `kind`.
template <std::size_t N = 0>
control::PeerMessage decodeBody(std::size_t kind, const Json &body)
{
    if constexpr (N < std::variant_size_v<control::PeerMessage>) {
        if (kind == N) {
            return body.get<std::variant_alternative_t<N, control::PeerMessage>>();
        }
        return decodeBody<N + 1>(kind, body);
    } else {
        throw Json::other_error::create(501, "unknown message kind", nullptr);
    }
}

} // namespace

std::string encodePeerMessage(const control::PeerMessage &message)
{
    Json body = std::visit([](const auto &it) { return Json(it); }, message);
    return writeCbor(Json::array({ProtocolVersion, message.index(), std::move(body)}));
}

Result<control::PeerMessage> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() > MaxPeerMessageBytes) {
        return fail(ErrorKind::MalformedMessage, "the peer message exceeds the size limit");
    }
    BOOST_LEAF_AUTO(json, parseCbor(bytes));
    if (!json.is_array() || json.size() != 3 || json[0] != ProtocolVersion || !json[1].is_number_unsigned()) {
        return fail(ErrorKind::MalformedMessage, "the message is not [version, kind, body] of a known version");
    }
    return decode([&] { return decodeBody(json[1].get<std::size_t>(), json[2]); });
}

} // namespace monsoonspool::codec
