#include "execution/rowlayout.h"

#include "jobs/names.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace monsoonspool::execution {

namespace {

constexpr int PartCount = 4;
constexpr int PartShift = 62; // selects the two highest bits of the job key
constexpr std::size_t KeyDigits = 16;
constexpr int HexBase = 16;

} // namespace

std::string partOf(jobs::JobKey job)
{
    return std::to_string(job.value >> PartShift);
}

std::vector<std::string> jobParts()
{
    std::vector<std::string> parts;
    for (int n = 0; n < PartCount; ++n) {
        parts.push_back(std::to_string(n));
    }
    return parts;
}

ports::RowName jobRow(jobs::JobKey job)
{
    return {std::string(JobsTable), partOf(job), jobs::jobName(job)};
}

ports::RowName cancelRow(jobs::JobKey job)
{
    return {std::string(JobsTable), partOf(job), jobs::jobName(job) + CancelSuffix};
}

ports::RowName tombstoneRow(jobs::JobKey job)
{
    return {std::string(JobsTable), partOf(job), std::string(TombstonePrefix) + jobs::jobName(job)};
}

ports::RowName progressRow(jobs::JobKey job)
{
    return {std::string(ProgressTable), partOf(job), jobs::jobName(job)};
}

ports::RowName progressRow(const jobs::ProgressSection &section)
{
    auto row = progressRow(section.job);
    if (section.number > 0) {
        row.key += SectionSeparator + std::to_string(section.number);
    }
    return row;
}

ports::RowName progressOwnerRow(std::string_view part)
{
    return {std::string(ProgressTable), std::string(part), std::string(ProgressOwnerKey)};
}

ports::RowName leaderRow()
{
    return {std::string(LeaderTable), {}, std::string(LeaderKey)};
}

ports::RowName endedTermRow(const EntryHostId &host)
{
    return {std::string(LeaderTable), "", std::string(EndedTermPrefix) + host.text()};
}

ports::RowName rosterOwnerRow()
{
    return {std::string(RosterTable), {}, std::string(RosterOwnerKey)};
}

ports::RowName rosterRow(int bucket)
{
    const auto number = std::to_string(bucket);
    return {std::string(RosterTable), {}, std::string(2 - std::min<std::size_t>(number.size(), 2), '0') + number};
}

ports::RowName learnedRow()
{
    return {std::string(LearnedTable), {}, std::string(LearnedKey)};
}

int rosterBucketOf(const WorkerId &worker)
{
    return static_cast<int>(XXH64(worker.view().data(), worker.view().size(), 0) % RosterBuckets);
}

std::optional<jobs::JobKey> jobOfKey(std::string_view key)
{
    if (key.size() < KeyDigits) {
        return std::nullopt;
    }
    jobs::JobKey job;
    const auto *end = key.data() + KeyDigits;
    const auto [stop, ec] = std::from_chars(key.data(), end, job.value, HexBase);
    if (ec != std::errc() || stop != end) {
        return std::nullopt;
    }
    return job;
}

std::optional<jobs::ProgressSection> progressSectionOfKey(std::string_view key)
{
    const auto job = jobOfKey(key);
    if (!job) {
        return std::nullopt;
    }
    const auto suffix = key.substr(KeyDigits);
    if (suffix.empty()) {
        return jobs::ProgressSection{*job, 0};
    }
    jobs::ProgressSection section{*job, 0};
    const auto *end = suffix.data() + suffix.size();
    const auto [stop, ec] = std::from_chars(suffix.data() + 1, end, section.number);
    const bool isSection = suffix.front() == SectionSeparator && ec == std::errc() && stop == end && section.number > 0;
    return isSection ? std::optional(section) : std::nullopt;
}

std::optional<jobs::JobKey> jobOfTombstoneKey(std::string_view key)
{
    return key.starts_with(TombstonePrefix) ? jobOfKey(key.substr(TombstonePrefix.size())) : std::nullopt;
}

bool isCancelKey(std::string_view key)
{
    return key.size() == KeyDigits + 1 && key.back() == CancelSuffix;
}

} // namespace monsoonspool::execution
