#pragma once

#include "common/error.h"
#include "execution/fleet.h"
#include "membership/leadership.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::execution {

// Encodes and decodes the values of the rows listed in rowlayout.h.
// Decoding fails with MalformedMessage.
class RowCodec
{
public:
    virtual ~RowCodec() = default;

    virtual std::string encode(const AcceptedJob &job) const = 0;
    // Leaves `key` and `version`, which come from the row, for the caller to set.
    virtual Result<AcceptedJob> decodeJob(std::string_view value) const = 0;

    virtual std::string encode(const jobs::JobProgress &progress) const = 0;
    virtual Result<jobs::JobProgress> decodeProgress(std::string_view value) const = 0;

    virtual std::string encode(const membership::LeaderRow &row) const = 0;
    virtual Result<membership::LeaderRow> decodeLeader(std::string_view value) const = 0;

    virtual std::string encode(const membership::EndedTerm &term) const = 0;
    virtual Result<membership::EndedTerm> decodeEndedTerm(std::string_view value) const = 0;

    virtual std::string encode(std::span<const RosterEntry> roster) const = 0;
    virtual Result<std::vector<RosterEntry>> decodeRoster(std::string_view value) const = 0;

    virtual std::string encode(std::span<const scheduling::LearnedInterference> learned) const = 0;
    virtual Result<std::vector<scheduling::LearnedInterference>> decodeLearned(std::string_view value) const = 0;
};

} // namespace monsoonspool::execution
