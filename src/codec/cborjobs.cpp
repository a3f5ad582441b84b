#include "codec/cborjobs.h"

#include "codec/json.h"

namespace monsoonspool::codec {

namespace {

// Decodes `value` with `f`. Converts the JSON library's exceptions (wrong type,
// missing key) to MalformedMessage.
template <typename F>
auto decodeWith(std::string_view value, F f) -> Result<decltype(f(Json()))>
{
    BOOST_LEAF_AUTO(json, parseLargeCbor(value));
    try {
        return f(json);
    } catch (const Json::exception &e) {
        return fail(ErrorKind::MalformedMessage, e.what());
    }
}

// Omits values equal to their default, since rows are read and billed by the byte.
template <typename T>
void putUnlessDefault(Json &json, std::string_view key, const T &value, const T &defaultValue)
{
    if (value != defaultValue) {
        json[std::string(key)] = value;
    }
}

Json encodeResources(const Resources &needs)
{
    return Json::array({needs.milliCores, needs.memoryMiB, needs.accelerators});
}

Resources decodeResources(const Json &json)
{
    return {json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>()};
}

Json encodeStep(const jobs::StepSpec &step)
{
    const jobs::StepSpec defaults;
    Json json = {{"needs", encodeResources(step.needs)}, {"estimate", step.estimate.count()}};
    putUnlessDefault(json, "count", step.count, defaults.count);
    putUnlessDefault(json, "after", step.after, defaults.after);
    putUnlessDefault(json, "checkpoints", step.hasCheckpoints, false);
    putUnlessDefault(json, "gang", step.isGang, false);
    putUnlessDefault(json, "colocated", step.isColocated, false);
    putUnlessDefault(json, "speculate", step.maySpeculate, false);
    putUnlessDefault(json, "lasting", step.isLasting, false);
    putUnlessDefault(json, "leftover", step.usesLeftover, false);
    putUnlessDefault(json, "label", step.requiredLabel, defaults.requiredLabel);
    putUnlessDefault(json, "rack", step.dataRack, defaults.dataRack);
    putUnlessDefault(json, "image", step.image, defaults.image);
    putUnlessDefault(json, "perWorker", step.maxPerWorker, defaults.maxPerWorker);
    putUnlessDefault(json, "unavailable", step.maxUnavailable, defaults.maxUnavailable);
    if (step.tailTarget) {
        json["tail"] = step.tailTarget->count();
    }
    return json;
}

jobs::StepSpec decodeStep(const Json &json)
{
    jobs::StepSpec step;
    step.needs = decodeResources(json.at("needs"));
    step.estimate = Duration(json.at("estimate").get<Duration::rep>());
    step.count = json.value("count", step.count);
    step.after = json.value("after", step.after);
    jobs::normalizeAfter(step.after);
    step.hasCheckpoints = json.value("checkpoints", false);
    step.isGang = json.value("gang", false);
    step.isColocated = json.value("colocated", false);
    step.maySpeculate = json.value("speculate", false);
    step.isLasting = json.value("lasting", false);
    step.usesLeftover = json.value("leftover", false);
    step.requiredLabel = json.value("label", step.requiredLabel);
    step.dataRack = json.value("rack", step.dataRack);
    step.image = json.value("image", step.image);
    step.maxPerWorker = json.value("perWorker", step.maxPerWorker);
    step.maxUnavailable = json.value("unavailable", step.maxUnavailable);
    if (json.contains("tail")) {
        step.tailTarget = Duration(json.at("tail").get<Duration::rep>());
    }
    return step;
}

Json encodeRunsByTask(const std::map<int, std::vector<jobs::RunNumber>> &runsByTask)
{
    Json json = Json::array();
    for (const auto &[index, runs] : runsByTask) {
        json.push_back(Json::array({index, runs}));
    }
    return json;
}

// Positions of the fields of a step's progress that are left out while they and all later ones are empty.
constexpr std::size_t PossiblyCrashedRunsField = 3;
constexpr std::size_t CheckpointsField = 4;
constexpr std::size_t AvoidedWorkersField = 5;

std::map<int, std::vector<jobs::RunNumber>> decodeRunsByTask(const Json &json)
{
    std::map<int, std::vector<jobs::RunNumber>> runsByTask;
    for (const auto &it : json) {
        runsByTask[it.at(0).get<int>()] = it.at(1).get<std::vector<jobs::RunNumber>>();
    }
    return runsByTask;
}

Json encodeRunByTask(const std::map<int, jobs::RunNumber> &runByTask)
{
    Json json = Json::array();
    for (const auto &[index, run] : runByTask) {
        json.push_back(Json::array({index, run}));
    }
    return json;
}

Json encodeCheckpoints(const std::map<int, jobs::Checkpoint> &checkpoints)
{
    Json json = Json::array();
    for (const auto &[index, checkpoint] : checkpoints) {
        json.push_back(Json::array({index, checkpoint.run, checkpoint.text}));
    }
    return json;
}

std::map<int, jobs::RunNumber> decodeRunByTask(const Json &json)
{
    std::map<int, jobs::RunNumber> runByTask;
    for (const auto &it : json) {
        runByTask[it.at(0).get<int>()] = it.at(1).get<jobs::RunNumber>();
    }
    return runByTask;
}

std::map<int, jobs::Checkpoint> decodeCheckpoints(const Json &json)
{
    std::map<int, jobs::Checkpoint> checkpoints;
    for (const auto &it : json) {
        checkpoints[it.at(0).get<int>()] = {it.at(1).get<jobs::RunNumber>(), it.at(2).get<std::string>()};
    }
    return checkpoints;
}

Json encodeWorkersByTask(const std::map<int, std::vector<WorkerId>> &workersByTask)
{
    Json json = Json::array();
    for (const auto &[index, workers] : workersByTask) {
        Json ids = Json::array();
        for (const auto &it : workers) {
            ids.push_back(it.text());
        }
        json.push_back(Json::array({index, std::move(ids)}));
    }
    return json;
}

std::map<int, std::vector<WorkerId>> decodeWorkersByTask(const Json &json)
{
    std::map<int, std::vector<WorkerId>> workersByTask;
    for (const auto &it : json) {
        auto &workers = workersByTask[it.at(0).get<int>()];
        for (const auto &id : it.at(1)) {
            workers.emplace_back(id.get<std::string>());
        }
    }
    return workersByTask;
}

Json encodePolicy(const jobs::QueuePolicy &policy)
{
    Json json = {{"queue", policy.queue},       {"service", policy.service.text()},
                 {"priority", policy.priority}, {"attempts", policy.maxAttempts},
                 {"stretch", policy.stretch},   {"latency", policy.targetLatency.count()}};
    if (policy.advice) {
        json["advice"] = Json::array(
            {policy.advice->decision.count(), policy.advice->perWorker.count(), policy.advice->validity.count()});
    }
    return json;
}

jobs::QueuePolicy decodePolicy(const Json &json)
{
    jobs::QueuePolicy policy;
    policy.queue = json.at("queue").get<std::string>();
    policy.service = ServiceName(json.at("service").get<std::string>());
    policy.priority = json.at("priority").get<int>();
    policy.maxAttempts = json.at("attempts").get<int>();
    policy.stretch = json.at("stretch").get<double>();
    policy.targetLatency = Duration(json.at("latency").get<Duration::rep>());
    if (json.contains("advice")) {
        const auto &advice = json.at("advice");
        policy.advice = jobs::AdviceTerms{Duration(advice.at(0).get<Duration::rep>()),
                                          Duration(advice.at(1).get<Duration::rep>()),
                                          Duration(advice.at(2).get<Duration::rep>())};
    }
    return policy;
}

} // namespace

std::string CborJobs::encode(const execution::AcceptedJob &job) const
{
    Json json = {{"policy", encodePolicy(job.policy)},
                 {"payload", job.spec.payload},
                 {"acceptedAt", job.acceptedAt.time_since_epoch().count()}};
    for (const auto &it : job.spec.steps) {
        json["steps"].push_back(encodeStep(it));
    }
    if (job.spec.isTimed()) {
        json["times"] = Json::array(
            {job.spec.occurrences, job.spec.firstDue.time_since_epoch().count(), job.spec.interval.count()});
    }
    putUnlessDefault(json, "fence", job.knownFence.value, Epoch().value);
    return writeCbor(json);
}

Result<execution::AcceptedJob> CborJobs::decodeJob(std::string_view value) const
{
    return decodeWith(value, [](const Json &json) {
        execution::AcceptedJob job;
        job.policy = decodePolicy(json.at("policy"));
        job.spec.payload = json.at("payload").get<std::string>();
        job.acceptedAt = jobs::WallTime(std::chrono::milliseconds(json.at("acceptedAt").get<std::int64_t>()));
        job.knownFence = {json.value("fence", Epoch().value)};
        for (const auto &it : json.at("steps")) {
            job.spec.steps.push_back(decodeStep(it));
        }
        if (json.contains("times")) {
            const auto &times = json.at("times");
            job.spec.occurrences = times.at(0).get<int>();
            job.spec.firstDue = jobs::WallTime(std::chrono::milliseconds(times.at(1).get<std::int64_t>()));
            job.spec.interval = std::chrono::milliseconds(times.at(2).get<std::int64_t>());
        }
        return job;
    });
}

std::string CborJobs::encode(const jobs::JobProgress &progress) const
{
    Json json = {{"state", static_cast<int>(progress.state)}};
    putUnlessDefault(json, "accepted", progress.isAccepted, true);
    if (progress.cancelledAt) {
        json["cancelledAt"] = progress.cancelledAt->time_since_epoch().count();
    }
    Json occurrences = Json::array();
    for (const auto &steps : progress.occurrences) {
        Json encoded = Json::array();
        for (const auto &it : steps) {
            Json step = Json::array({it.tasks, encodeRunsByTask(it.failedRuns)});
            // The last fields are left out while they are empty; earlier releases ignore them.
            std::vector<Json> fields;
            fields.push_back(encodeRunsByTask(it.crashedRuns));
            fields.push_back(encodeRunByTask(it.possiblyCrashedRuns));
            fields.push_back(encodeCheckpoints(it.checkpoints));
            fields.push_back(encodeWorkersByTask(it.avoidedWorkers));
            while (!fields.empty() && fields.back().empty()) {
                fields.pop_back();
            }
            for (auto &field : fields) {
                step.push_back(std::move(field));
            }
            encoded.push_back(std::move(step));
        }
        occurrences.push_back(std::move(encoded));
    }
    if (progress.firstOccurrence > 0) {
        json["later"] = Json::array({progress.firstOccurrence, std::move(occurrences)});
    } else if (!occurrences.empty()) {
        json["occurrences"] = std::move(occurrences);
    }
    return writeCbor(json);
}

Result<jobs::JobProgress> CborJobs::decodeProgress(std::string_view value) const
{
    return decodeWith(value, [](const Json &json) {
        jobs::JobProgress progress;
        progress.state = static_cast<jobs::JobState>(json.at("state").get<int>());
        progress.isAccepted = json.value("accepted", true);
        if (json.contains("cancelledAt")) {
            progress.cancelledAt
                = jobs::WallTime(std::chrono::milliseconds(json.at("cancelledAt").get<std::int64_t>()));
        }
        // Occurrences from a number on, which earlier releases do not read.
        const auto later = json.value("later", Json::array());
        if (!later.empty()) {
            progress.firstOccurrence = later.at(0).get<int>();
        }
        for (const auto &steps : later.empty() ? json.value("occurrences", Json::array()) : later.at(1)) {
            auto &decoded = progress.occurrences.emplace_back();
            for (const auto &it : steps) {
                auto &step = decoded.emplace_back();
                step.tasks = it.at(0).get<std::string>();
                step.failedRuns = decodeRunsByTask(it.at(1));
                if (it.size() > 2) {
                    step.crashedRuns = decodeRunsByTask(it.at(2));
                }
                if (it.size() > PossiblyCrashedRunsField) {
                    step.possiblyCrashedRuns = decodeRunByTask(it.at(PossiblyCrashedRunsField));
                }
                if (it.size() > CheckpointsField) {
                    step.checkpoints = decodeCheckpoints(it.at(CheckpointsField));
                }
                if (it.size() > AvoidedWorkersField) {
                    step.avoidedWorkers = decodeWorkersByTask(it.at(AvoidedWorkersField));
                }
            }
        }
        return progress;
    });
}

std::string CborJobs::encode(const membership::LeaderRow &row) const
{
    Json json{{"host", row.host.text()},
              {"incarnation", row.incarnation},
              {"fence", row.fence.value},
              {"beat", row.beat},
              {"bestShare", row.bestShare},
              {"waiting", row.waiting.byQueue},
              {"waitingVersion", row.waiting.version},
              {"waitingAgeMs", toMilliseconds(row.waiting.age)},
              {"formersDecideMs", toMilliseconds(row.formersDecideFor)}};
    putUnlessDefault(json, "tombstones", row.tombstones, std::size_t(0));
    putUnlessDefault(json, "full", row.fullQueues, {});
    putUnlessDefault(json, "waitingTruncated", row.waiting.isTruncated, false);
    if (row.former) {
        json["former"] = {{"host", row.former->host.text()},
                          {"incarnation", row.former->incarnation},
                          {"fence", row.former->fence.value}};
    }
    for (const auto &it : row.silentWorkers) {
        json["silent"].push_back(
            Json::array({it.worker.text(), std::chrono::ceil<std::chrono::milliseconds>(it.leasesEndIn).count()}));
    }
    for (const auto &it : row.witnesses) {
        json["witnesses"].push_back(Json::array({it.worker.text(), it.startTimeMs}));
    }
    return writeCbor(json);
}

Result<membership::LeaderRow> CborJobs::decodeLeader(std::string_view value) const
{
    return decodeWith(value, [](const Json &json) {
        membership::LeaderRow row;
        row.host = EntryHostId(json.at("host").get<std::string>());
        row.incarnation = json.at("incarnation").get<std::uint64_t>();
        row.fence = {json.at("fence").get<std::uint64_t>()};
        row.beat = json.at("beat").get<std::uint64_t>();
        row.bestShare = json.at("bestShare").get<double>();
        row.waiting.byQueue = json.at("waiting").get<std::map<std::string, int>>();
        row.waiting.version = json.value("waitingVersion", std::uint64_t(0));
        row.waiting.age = std::chrono::milliseconds(json.value("waitingAgeMs", std::int64_t(0)));
        row.formersDecideFor = std::chrono::milliseconds(json.value("formersDecideMs", std::int64_t(0)));
        row.tombstones = json.value("tombstones", std::size_t(0));
        row.fullQueues = json.value("full", row.fullQueues);
        row.waiting.isTruncated = json.value("waitingTruncated", false);
        if (const auto former = json.find("former"); former != json.end()) {
            row.former = {EntryHostId(former->at("host").get<std::string>()),
                          former->at("incarnation").get<std::uint64_t>(),
                          {former->at("fence").get<std::uint64_t>()}};
        }
        for (const auto &it : json.value("silent", Json::array())) {
            row.silentWorkers.push_back(
                {WorkerId(it.at(0).get<std::string>()), std::chrono::milliseconds(it.at(1).get<std::int64_t>())});
        }
        for (const auto &it : json.value("witnesses", Json::array())) {
            row.witnesses.push_back({WorkerId(it.at(0).get<std::string>()), it.at(1).get<std::int64_t>()});
        }
        return row;
    });
}

std::string CborJobs::encode(const membership::EndedTerm &term) const
{
    return writeCbor({{"fence", term.fence.value},
                      {"leasesEndInMs", std::chrono::ceil<std::chrono::milliseconds>(term.leasesEndIn).count()}});
}

Result<membership::EndedTerm> CborJobs::decodeEndedTerm(std::string_view value) const
{
    return decodeWith(value, [](const Json &json) {
        membership::EndedTerm term;
        term.fence = {json.at("fence").get<std::uint64_t>()};
        term.leasesEndIn = std::chrono::milliseconds(json.at("leasesEndInMs").get<std::int64_t>());
        return term;
    });
}

std::string CborJobs::encode(std::span<const scheduling::LearnedInterference> learned) const
{
    Json all = Json::array();
    for (const auto &interference : learned) {
        Json presses = Json::object();
        for (const auto &it : interference.sensitivities) {
            presses[it.image] = it.value;
        }
        all.push_back(
            {{"image", interference.image}, {"baseRate", interference.baseRate}, {"presses", std::move(presses)}});
    }
    return writeCbor(all);
}

Result<std::vector<scheduling::LearnedInterference>> CborJobs::decodeLearned(std::string_view value) const
{
    return decodeWith(value, [](const Json &json) {
        std::vector<scheduling::LearnedInterference> learned;
        for (const auto &it : json) {
            scheduling::LearnedInterference interference{
                it.at("image").get<std::string>(), it.at("baseRate").get<double>(), {}};
            for (const auto &[image, sensitivity] : it.at("presses").items()) {
                interference.sensitivities.push_back({image, sensitivity.get<double>()});
            }
            learned.push_back(std::move(interference));
        }
        return learned;
    });
}

std::string CborJobs::encode(std::span<const execution::RosterEntry> roster) const
{
    Json json = Json::array();
    for (const auto &[it, remainingJobs] : roster) {
        json.push_back(Json::array({it.id.text(), it.service.text(), it.address.ip, it.address.port, it.domain.text(),
                                    it.kind, it.rack, encodeResources(it.capacity), it.startTimeMs}));
        if (remainingJobs) {
            Json keys = Json::array();
            for (const auto &key : *remainingJobs) {
                keys.push_back(key.value);
            }
            json.back().push_back(std::move(keys));
        }
    }
    return writeCbor(json);
}

Result<std::vector<execution::RosterEntry>> CborJobs::decodeRoster(std::string_view value) const
{
    return decodeWith(value, [](const Json &json) {
        std::vector<execution::RosterEntry> roster;
        for (const auto &it : json) {
            auto &[entry, remainingJobs] = roster.emplace_back();
            entry.id = WorkerId(it.at(0).get<std::string>());
            entry.service = ServiceName(it.at(1).get<std::string>());
            entry.address = {it.at(2).get<std::string>(), it.at(3).get<std::uint16_t>()};
            entry.domain = FailureDomain(it.at(4).get<std::string>());
            entry.kind = it.at(5).get<std::string>();
            entry.rack = it.at(6).get<std::string>();
            entry.capacity = decodeResources(it.at(7));
            entry.startTimeMs = it.at(8).get<std::int64_t>();
            constexpr std::size_t remainingJobsField = 9;
            if (it.size() > remainingJobsField) {
                remainingJobs.emplace();
                for (const auto &key : it.at(remainingJobsField)) {
                    remainingJobs->push_back({key.get<std::uint64_t>()});
                }
            }
        }
        return roster;
    });
}

} // namespace monsoonspool::codec
