#pragma once

#include "common/error.h"
#include "placement/jobtable.h"
#include "placement/placementlog.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::control {

// A batch of log entries, stored as one row of the table service.
struct LogBatch
{
    Epoch epoch;
    std::uint64_t sequence = 0;
    std::vector<placement::LogEntry> entries;
};

// Encodes and decodes the rows and objects that placement stores. Decoding fails with
// MalformedMessage.
class PlacementCodec
{
public:
    virtual ~PlacementCodec() = default;
    virtual std::string encode(const LogBatch &batch) const = 0;
    virtual Result<LogBatch> decodeBatch(std::string_view value) const = 0;
    virtual std::string encode(std::span<const placement::Job *const> jobs) const = 0;
    virtual Result<std::vector<placement::Job>> decodeJobs(std::string_view value) const = 0;
};

} // namespace monsoonspool::control
