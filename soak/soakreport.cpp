#include "soak/soakreport.h"

#include "jobs/names.h"

#include <sstream>

namespace monsoonspool::soak {

namespace {

using codec::Json;

constexpr std::size_t MaxListedViolations = 5; // of a promise

// Returns the kind of connections of each worker.
Json workerConnections(const SoakOptions &options)
{
    auto kinds = Json::array();
    for (int n = 0; n < options.workers; ++n) {
        kinds.push_back(connectionKindName(workerConnectionKind(options.connections, options.seed, n)));
    }
    return kinds;
}

Duration longestStandstill(const Verdict &verdict)
{
    return verdict.longest.empty() ? Duration(0) : verdict.longest.front().length;
}

} // namespace

Json encodeReport(const SoakOptions &options, const SoakResult &result)
{
    Json promises = Json::object();
    for (const auto &it : result.verdict.promises) {
        promises[std::string(promiseName(it.promise))]
            = {{"checked", it.checked}, {"violations", it.violations.size()}, {"details", it.violations}};
    }
    Json faults = Json::object();
    for (std::size_t n = 0; n < FaultKindCount; ++n) {
        const auto kind = static_cast<FaultKind>(n);
        faults[std::string(faultKindName(kind))] = result.faults.count(kind);
    }
    auto standstills = Json::array();
    for (const auto &it : result.verdict.longest) {
        standstills.push_back({{"job", jobs::jobName(it.job)}, {"ms", toMilliseconds(it.length)}});
    }
    return {{"seed", options.seed},
            {"seconds", options.seconds},
            {"hosts", options.hosts},
            {"workers", options.workers},
            {"connections", connectionKindName(options.connections)},
            {"storeDelayMs", toMilliseconds(options.storeDelay)},
            {"hostSignals", hostFaultSetName(options.hostFaults)},
            {"workerConnections", workerConnections(options)},
            {"submitted", result.clients.submitted},
            {"completed", result.clients.completed},
            {"unanswered", result.clients.unanswered},
            {"interrupted", result.isInterrupted},
            {"kept", result.verdict.isKept()},
            {"promises", promises},
            {"faults", faults},
            {"longestStandstillMs", toMilliseconds(longestStandstill(result.verdict))},
            {"standstills", standstills}};
}

std::string formatReport(const SoakOptions &options, const SoakResult &result)
{
    std::ostringstream out;
    out << "seed " << options.seed << ", " << connectionKindName(options.connections) << ": "
        << result.clients.submitted << " jobs submitted, " << result.clients.completed << " completed, "
        << result.clients.unanswered << " attempts without an answer\n";
    for (const auto &it : result.verdict.promises) {
        out << promiseName(it.promise) << ": " << it.checked << " checked, " << it.violations.size() << " violations\n";
        for (std::size_t n = 0; n < it.violations.size() && n < MaxListedViolations; ++n) {
            out << "  " << it.violations[n] << "\n";
        }
    }
    out << "workers: " << codec::writeJson(workerConnections(options)) << "\n";
    out << "longest standstill: " << toMilliseconds(longestStandstill(result.verdict)) << " ms\n";
    for (std::size_t n = 0; n < FaultKindCount; ++n) {
        const auto kind = static_cast<FaultKind>(n);
        if (result.faults.count(kind) > 0) {
            out << "fault " << faultKindName(kind) << ": " << result.faults.count(kind) << "\n";
        }
    }
    return out.str();
}

} // namespace monsoonspool::soak
