#pragma once

#include "common/error.h"
#include "control/peermessages.h"
#include "documents/servicedocument.h"
#include "grants/slotmessages.h"
#include "membership/ownership.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::control {

// One revision of a document, stored as the current row and as a row of the history.
struct DocumentRow
{
    std::uint64_t revision = 0;
    std::string text;
    std::string author;
    std::uint64_t applyId = 0; // random, unique per apply; identifies the write after a lost reply
};

// A decoded document text, with all faults that were found.
struct DecodedDocument
{
    documents::ServiceDocument document;
    std::vector<documents::DocumentFault> faults;
};

// Encodes and decodes the rows that the control thread stores in the table service.
// Decoding fails with MalformedMessage.
class RowCodec
{
public:
    virtual ~RowCodec() = default;

    virtual std::string encode(const membership::OwnershipRow &row) const = 0;
    virtual Result<membership::OwnershipRow> decodeOwnership(std::string_view value) const = 0;

    virtual std::string encode(const DocumentRow &row) const = 0;
    virtual Result<DocumentRow> decodeDocument(std::string_view value) const = 0;

    virtual std::string encode(const DocumentChange &change) const = 0;
    virtual Result<DocumentChange> decodeChange(std::string_view value) const = 0;

    virtual std::string encode(const grants::LedgerKey &ledger, const grants::HolderId &holder) const = 0;
    virtual Result<std::pair<grants::LedgerKey, grants::HolderId>> decodeHolder(std::string_view value) const = 0;

    // Validates and decodes the text of a service document.
    virtual DecodedDocument decodeServiceDocument(std::string_view text) const = 0;
};

} // namespace monsoonspool::control
