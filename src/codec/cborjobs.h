#pragma once

#include "execution/rowcodec.h"

namespace monsoonspool::codec {

// Encodes the store rows of job execution as CBOR.
class CborJobs : public execution::RowCodec
{
public:
    std::string encode(const execution::AcceptedJob &job) const override;
    Result<execution::AcceptedJob> decodeJob(std::string_view value) const override;
    std::string encode(const jobs::JobProgress &progress) const override;
    Result<jobs::JobProgress> decodeProgress(std::string_view value) const override;
    std::string encode(const membership::LeaderRow &row) const override;
    Result<membership::LeaderRow> decodeLeader(std::string_view value) const override;
    std::string encode(const membership::EndedTerm &term) const override;
    Result<membership::EndedTerm> decodeEndedTerm(std::string_view value) const override;
    std::string encode(std::span<const scheduling::LearnedInterference> learned) const override;
    Result<std::vector<scheduling::LearnedInterference>> decodeLearned(std::string_view value) const override;
    std::string encode(std::span<const execution::RosterEntry> roster) const override;
    Result<std::vector<execution::RosterEntry>> decodeRoster(std::string_view value) const override;
};

} // namespace monsoonspool::codec
