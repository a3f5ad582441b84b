// One job whose tasks do not fit into the memory of a machine.
#include "cases.h"
#include "memoryguard.h"

#include <thread>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr int ProbeJobs = 6;
constexpr auto Recovery = 12s; // of kerbrat-spool
// 10,000 times of 200 tasks; all times are over.
constexpr const char *Job = R"({"spec":"minutes","steps":[{"count":200,"cpu":1000,"memMb":500,"estimateMs":600}],)"
                            R"("repeatCount":10000,"firstRunMs":1000,"intervalMs":1000})";

} // namespace

int runRepeatsCase(Record &record)
{
    Deployment deployment({3, 16}, record, [](const std::string &) { return std::optional(600ms); });
    if (!deployment.start()) {
        return 2;
    }
    MemoryGuard guard(deployment, record);
    if (hasTrouble()) {
        record.note("disruption", "a client hands in one job of 10,000 times 200 tasks");
        deployment.submit(*deployment.hosts().front(), deployment.routes()[1], hexName(0xaa), Job);
    }
    std::this_thread::sleep_for(Recovery);
    return probe(deployment, guard, record, ProbeJobs);
}

} // namespace review
