#pragma once

#include "common/error.h"
#include "records/requestrecord.h"

#include <string>
#include <string_view>

namespace monsoonspool::records {

// Encodes records as table row values, and decodes them.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;
    virtual std::string encode(const RequestRecord &record) const = 0;

    // Fails with MalformedMessage.
    virtual Result<RequestRecord> decode(std::string_view value) const = 0;
};

} // namespace monsoonspool::records
