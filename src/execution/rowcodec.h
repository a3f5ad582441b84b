#pragma once

#include "common/error.h"
#include "execution/fleet.h"
#include "membership/leadership.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::execution {

// Turns what this part keeps in the store into values of rows and back.
// Decoding fails with MalformedMessage.
class RowCodec
{
public:
    virtual ~RowCodec() = default;

    virtual std::string encode(const AcceptedJob &job) const = 0;
    // The key and version are those of the row, and left to the caller.
    virtual Result<AcceptedJob> decodeJob(std::string_view value) const = 0;

    virtual std::string encode(const jobs::JobProgress &progress) const = 0;
    virtual Result<jobs::JobProgress> decodeProgress(std::string_view value) const = 0;

    virtual std::string encode(const membership::LeaderRow &row) const = 0;
    virtual Result<membership::LeaderRow> decodeLeader(std::string_view value) const = 0;

    virtual std::string encode(std::span<const ports::WorkerEntry> roster) const = 0;
    virtual Result<std::vector<ports::WorkerEntry>> decodeRoster(std::string_view value) const = 0;

    virtual std::string encode(std::span<const scheduling::LearnedInterference> learned) const = 0;
    virtual Result<std::vector<scheduling::LearnedInterference>> decodeLearned(std::string_view value) const = 0;
};

} // namespace monsoonspool::execution
