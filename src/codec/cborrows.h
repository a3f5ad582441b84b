#pragma once

#include "control/placementcodec.h"
#include "control/rowcodec.h"
#include "records/recordcodec.h"

namespace monsoonspool::codec {

// Encodes the control rows of the table service as CBOR.
class CborRows : public control::RowCodec
{
public:
    std::string encode(const membership::OwnershipRow &row) const override;
    Result<membership::OwnershipRow> decodeOwnership(std::string_view value) const override;
    std::string encode(const control::DocumentRow &row) const override;
    Result<control::DocumentRow> decodeDocument(std::string_view value) const override;
    std::string encode(const control::DocumentChange &change) const override;
    Result<control::DocumentChange> decodeChange(std::string_view value) const override;
    std::string encode(const grants::LedgerKey &ledger, const grants::HolderId &holder) const override;
    Result<std::pair<grants::LedgerKey, grants::HolderId>> decodeHolder(std::string_view value) const override;
    control::DecodedDocument decodeServiceDocument(std::string_view text) const override;
};

// Encodes the placement log and job snapshots as CBOR.
class CborPlacement : public control::PlacementCodec
{
public:
    std::string encode(const control::LogBatch &batch) const override;
    Result<control::LogBatch> decodeBatch(std::string_view value) const override;
    std::string encode(std::span<const placement::Job *const> jobs) const override;
    Result<std::vector<placement::Job>> decodeJobs(std::string_view value) const override;
};

// Encodes the records of keyed requests as CBOR.
class CborRecords : public records::RecordCodec
{
public:
    std::string encode(const records::RequestRecord &record) const override;
    Result<records::RequestRecord> decode(std::string_view value) const override;
};

} // namespace monsoonspool::codec
