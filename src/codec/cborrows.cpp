#include "codec/cborrows.h"

#include "codec/documentjson.h"
#include "codec/json.h"
#include "codec/typejson.h"

namespace monsoonspool::codec {

namespace {

// Stored in every row, so that a later release can recognize the format.
constexpr int RowVersion = 1;

// Decodes the row `value` and passes it to `read`. Fails with MalformedMessage if the
// row has another version, or a key is missing or has the wrong type.
template <typename F>
auto decodeRow(std::string_view value, F read) -> Result<decltype(read(std::declval<const Json &>()))>
{
    BOOST_LEAF_AUTO(json, parseCbor(value));
    return decode([&] {
        if (json.at("v").get<int>() != RowVersion) {
            throw Json::other_error::create(501, "unknown row version", nullptr);
        }
        return read(json);
    });
}

} // namespace

std::string CborRows::encode(const membership::OwnershipRow &row) const
{
    return writeCbor({{"v", RowVersion}, {"o", row.owner}, {"i", row.incarnation}, {"e", row.epoch}, {"b", row.beat}});
}

Result<membership::OwnershipRow> CborRows::decodeOwnership(std::string_view value) const
{
    return decodeRow(value, [](const Json &json) {
        return membership::OwnershipRow{json.at("o").get<EntryHostId>(), json.at("i").get<std::uint64_t>(),
                                        json.at("e").get<Epoch>(), json.at("b").get<std::uint64_t>()};
    });
}

std::string CborRows::encode(const control::DocumentRow &row) const
{
    return writeCbor({{"v", RowVersion}, {"r", row.revision}, {"t", row.text}, {"a", row.author}, {"id", row.applyId}});
}

Result<control::DocumentRow> CborRows::decodeDocument(std::string_view value) const
{
    return decodeRow(value, [](const Json &json) {
        return control::DocumentRow{json.at("r").get<std::uint64_t>(), json.at("t").get<std::string>(),
                                    json.at("a").get<std::string>(), json.at("id").get<std::uint64_t>()};
    });
}

std::string CborRows::encode(const control::DocumentChange &change) const
{
    return writeCbor({{"v", RowVersion}, {"c", change}});
}

Result<control::DocumentChange> CborRows::decodeChange(std::string_view value) const
{
    return decodeRow(value, [](const Json &json) { return json.at("c").get<control::DocumentChange>(); });
}

std::string CborRows::encode(const grants::LedgerKey &ledger, const grants::HolderId &holder) const
{
    return writeCbor({{"v", RowVersion}, {"l", ledger}, {"h", holder}});
}

Result<std::pair<grants::LedgerKey, grants::HolderId>> CborRows::decodeHolder(std::string_view value) const
{
    return decodeRow(value, [](const Json &json) {
        return std::pair(json.at("l").get<grants::LedgerKey>(), json.at("h").get<grants::HolderId>());
    });
}

control::DecodedDocument CborRows::decodeServiceDocument(std::string_view text) const
{
    return codec::decodeDocument(text);
}

std::string CborRecords::encode(const records::RequestRecord &record) const
{
    Json json{{"v", RowVersion},         {"s", static_cast<int>(record.state)},
              {"f", record.fingerprint}, {"h", record.host},
              {"i", record.incarnation}, {"n", record.intentId}};
    if (record.state == records::RecordState::Answered) {
        const auto &body = record.answer.body;
        json["as"] = record.answer.status;
        json["af"] = record.answer.fields;
        json["ab"] = Json::binary(std::vector<std::uint8_t>(body.begin(), body.end()));
    }
    return writeCbor(json);
}

Result<records::RequestRecord> CborRecords::decode(std::string_view value) const
{
    return decodeRow(value, [](const Json &json) {
        records::RequestRecord record;
        const int state = json.at("s").get<int>();
        if (state < 0 || state > static_cast<int>(records::RecordState::NotRun)) {
            throw Json::other_error::create(501, "unknown record state", nullptr);
        }
        record.state = static_cast<records::RecordState>(state);
        json.at("f").get_to(record.fingerprint);
        json.at("h").get_to(record.host);
        json.at("i").get_to(record.incarnation);
        json.at("n").get_to(record.intentId);
        if (record.state == records::RecordState::Answered) {
            json.at("as").get_to(record.answer.status);
            json.at("af").get_to(record.answer.fields);
            const auto &body = json.at("ab").get_binary();
            record.answer.body.assign(body.begin(), body.end());
        }
        return record;
    });
}

} // namespace monsoonspool::codec
