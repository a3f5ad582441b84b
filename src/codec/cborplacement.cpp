#include "codec/cborrows.h"

#include "codec/json.h"
#include "codec/platformjson.h"
#include "codec/typejson.h"

namespace monsoonspool::codec {

namespace {

using placement::AttemptEnded;
using placement::AttemptPlanned;
using placement::Job;
using placement::JobCancelled;
using placement::JobFailed;
using placement::JobRemoved;
using placement::JobState;
using placement::JobSubmitted;
using placement::LogEntry;

constexpr int BatchVersion = 1;

Json toJson(const JobSubmitted &it)
{
    return {it.job, it.spec};
}
Json toJson(const JobCancelled &it)
{
    return Json::array({it.job});
}
Json toJson(const AttemptPlanned &it)
{
    return {it.attempt.job, it.attempt.attempt, it.worker, it.workerIncarnation, it.allocated};
}
Json toJson(const AttemptEnded &it)
{
    return {it.attempt.job, it.attempt.attempt, static_cast<int>(it.outcome), it.result, it.checkpoint};
}
Json toJson(const JobFailed &it)
{
    return Json::array({it.job, it.reason});
}
Json toJson(const JobRemoved &it)
{
    return Json::array({it.job});
}

ports::AttemptId attemptIdFrom(const Json &json)
{
    return {json.at(0).get<JobId>(), json.at(1).get<std::uint32_t>()};
}

AttemptEnded attemptEndedFrom(const Json &json)
{
    const int outcome = json.at(2).get<int>();
    if (outcome < 0 || outcome > static_cast<int>(AttemptEnded::Outcome::NeverStarted)) {
        throw Json::other_error::create(501, "unknown attempt outcome", nullptr);
    }
    return {attemptIdFrom(json), static_cast<AttemptEnded::Outcome>(outcome), json.at(3).get<std::string>(),
            json.at(4).get<std::string>()};
}

LogEntry logEntryFrom(const Json &json)
{
    const auto &body = json.at(1);
    switch (json.at(0).get<int>()) {
    case 0:
        return JobSubmitted{body.at(0).get<JobId>(), body.at(1).get<placement::JobSpec>()};
    case 1:
        return JobCancelled{body.at(0).get<JobId>()};
    case 2:
        return AttemptPlanned{attemptIdFrom(body), body.at(2).get<WorkerId>(), body.at(3).get<std::uint64_t>(),
                              body.at(4).get<Resources>()};
    case 3:
        return attemptEndedFrom(body);
    case 4:
        return JobFailed{body.at(0).get<JobId>(), body.at(1).get<std::string>()};
    case 5:
        return JobRemoved{body.at(0).get<JobId>()};
    default:
        throw Json::other_error::create(501, "unknown log entry type", nullptr);
    }
}

Json jobToJson(const Job &job)
{
    Json json{{"id", job.id},
              {"spec", job.spec},
              {"state", static_cast<int>(job.state)},
              {"cancelling", job.isCancelling},
              {"attempts", job.attempts},
              {"evictions", job.evictions},
              {"checkpoint", job.checkpoint},
              {"result", job.result},
              {"order", job.submissionOrder}};
    if (job.attempt) {
        const auto &it = *job.attempt;
        json["attempt"] = {it.id.job, it.id.attempt, it.worker, it.workerIncarnation, it.allocated};
    }
    return json;
}

Job jobFrom(const Json &json)
{
    Job job;
    json.at("id").get_to(job.id);
    json.at("spec").get_to(job.spec);
    const int state = json.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(JobState::Cancelled)) {
        throw Json::other_error::create(501, "unknown job state", nullptr);
    }
    job.state = static_cast<JobState>(state);
    json.at("cancelling").get_to(job.isCancelling);
    json.at("attempts").get_to(job.attempts);
    json.at("evictions").get_to(job.evictions);
    json.at("checkpoint").get_to(job.checkpoint);
    json.at("result").get_to(job.result);
    json.at("order").get_to(job.submissionOrder);
    if (json.contains("attempt")) {
        const auto &it = json.at("attempt");
        job.attempt = placement::Attempt{attemptIdFrom(it), it.at(2).get<WorkerId>(), it.at(3).get<std::uint64_t>(),
                                         it.at(4).get<Resources>()};
    }
    return job;
}

} // namespace

std::string CborPlacement::encode(const control::LogBatch &batch) const
{
    Json entries = Json::array();
    for (const auto &entry : batch.entries) {
        entries.push_back(Json::array({entry.index(), std::visit([](const auto &it) { return toJson(it); }, entry)}));
    }
    return writeCbor({{"v", BatchVersion}, {"e", batch.epoch}, {"s", batch.sequence}, {"l", std::move(entries)}});
}

Result<control::LogBatch> CborPlacement::decodeBatch(std::string_view value) const
{
    BOOST_LEAF_AUTO(json, parseCbor(value));
    return codec::decode([&] {
        control::LogBatch batch{json.at("e").get<Epoch>(), json.at("s").get<std::uint64_t>(), {}};
        for (const auto &it : json.at("l")) {
            batch.entries.push_back(logEntryFrom(it));
        }
        return batch;
    });
}

std::string CborPlacement::encode(std::span<const Job *const> jobs) const
{
    Json rows = Json::array();
    for (const auto *job : jobs) {
        rows.push_back(jobToJson(*job));
    }
    return writeCbor({{"v", BatchVersion}, {"jobs", std::move(rows)}});
}

Result<std::vector<Job>> CborPlacement::decodeJobs(std::string_view value) const
{
    BOOST_LEAF_AUTO(json, parseLargeCbor(value));
    return codec::decode([&] {
        std::vector<Job> jobs;
        for (const auto &it : json.at("jobs")) {
            jobs.push_back(jobFrom(it));
        }
        return jobs;
    });
}

} // namespace monsoonspool::codec
