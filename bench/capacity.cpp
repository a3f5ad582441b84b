#include "bench/capacity.h"

#include "bench/simulatedcluster.h"
#include "bench/simulation.h"
#include "grants/slotledger.h"
#include "metrics/latencyhistogram.h"
#include "placement/partition.h"
#include "routing/dispatcher.h"

#include <ctime>
#include <malloc.h>

namespace monsoonspool::bench {

using codec::Json;

namespace {

constexpr TimePoint Start{1h};
constexpr Duration ScaleRunDuration = 20s;
constexpr int MaxPlacedTasks = 25'000;
constexpr int StartsPerPlan = 100;
constexpr Resources WorkerCapacity{60'000, 250 * 1024, 0};

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) * 1e-3;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

Scenario idleScenario(int nodes)
{
    Scenario scenario;
    scenario.name = "scale";
    scenario.regions = {{"one", nodes / 3, 24}, {"two", nodes / 3, 24}, {"three", nodes - 2 * (nodes / 3), 17}};
    scenario.documents = {
        R"({"service": "s", "team": "t", "target": {"slots": 8, "connections": 600}, "urgency": [{"name": "u", "rank": 0}]})"};
    scenario.flows = {{"s", "u", 100ms, 0, false}};
    scenario.phases = {{"quiet", ScaleRunDuration, {0.0}, true}};
    scenario.settleTime = Duration{0};
    return scenario;
}

Json scaleRow(int nodes, std::uint64_t seed)
{
    Simulation simulation(idleScenario(nodes), seed);
    NodeStats before;
    SimulatedCluster *cluster = nullptr;
    std::uint64_t commitsBefore = 0;
    std::uint64_t readsBefore = 0;
    simulation.run([&](Simulation &it) {
        auto router = std::make_unique<SimulatedCluster>(it, ClusterOptions{seed, 660s, true});
        cluster = router.get();
        before = cluster->stats();
        commitsBefore = cluster->platform().table.commitCount();
        readsBefore = cluster->platform().table.readCount();
        return router;
    });
    const auto after = cluster->stats();
    const double nodeSeconds = nodes * std::chrono::duration<double>(ScaleRunDuration).count();
    const double seconds = std::chrono::duration<double>(ScaleRunDuration).count();
    return {
        {"nodes", nodes},
        {"messagesPerNodeSecond", static_cast<double>(after.messages - before.messages) / nodeSeconds},
        {"bytesPerNodeSecond", static_cast<double>(after.bytes - before.bytes) / nodeSeconds},
        {"coreFractionPerNode", (after.cpuSeconds - before.cpuSeconds) / nodeSeconds},
        {"storeCommitsPerSecond",
         static_cast<double>(cluster->platform().table.commitCount() - commitsBefore) / seconds},
        {"storeReadsPerSecond", static_cast<double>(cluster->platform().table.readCount() - readsBefore) / seconds}};
}

std::vector<ports::ListedWorker> listedWorkers(int n)
{
    std::vector<ports::ListedWorker> listed;
    for (int i = 0; i < n; ++i) {
        listed.push_back({WorkerId("worker-" + std::to_string(i)),
                          FailureDomain("d"),
                          "rack-" + std::to_string(i / 8),
                          WorkerCapacity,
                          {"127.0.0.1", 1},
                          ports::HostState::Live});
    }
    return listed;
}

void reportWorkers(placement::Partition &partition, int n, TimePoint now)
{
    for (int i = 0; i < n; ++i) {
        partition.noteReport(WorkerId("worker-" + std::to_string(i)),
                             ports::WorkerReport{WorkerId("worker-" + std::to_string(i)), 1, {1}, {}}, now, now);
    }
}

// Fills a partition with tasks, planning StartsPerPlan of them at a time.
Json placementRow(int workers)
{
    placement::Partition partition({PartitionName("d"), Epoch{1}}, Start);
    partition.setWorkers(listedWorkers(workers));
    reportWorkers(partition, workers, Start);
    const int tasks = std::min(MaxPlacedTasks, workers * 50);
    const double heapBefore = heapBytes();
    metrics::LatencyHistogram startTimes;
    std::vector<placement::LogEntry> log;
    for (int n = 0; n < tasks; n += StartsPerPlan) {
        for (int i = 0; i < StartsPerPlan; ++i) {
            const placement::JobSpec spec{TeamName("team"),
                                          "key-" + std::to_string(n + i),
                                          "work",
                                          {1000 + (i % 7) * 100, 512, 0},
                                          placement::Urgency::Batch};
            handleFailure([&] { return partition.submit(spec, Start); }, [](const Failure &) { return JobId(); });
        }
        const double before = processorMicroseconds();
        partition.plan(Start);
        startTimes.add(Duration(static_cast<std::int64_t>((processorMicroseconds() - before) / StartsPerPlan)));
        const auto entries = partition.takeEntries();
        log.insert(log.end(), entries.begin(), entries.end());
        partition.noteCommitted(entries, Start);
    }
    const double bytesPerTask = (heapBytes() - heapBefore) / tasks;
    const double beforeRebuild = processorMicroseconds();
    placement::Partition successor({PartitionName("d"), Epoch{2}}, Start);
    successor.restore({}, log, Start);
    return {{"workers", workers},
            {"tasks", tasks},
            {"running", partition.summary(Start).running},
            {"startP50Us", startTimes.quantile(0.5).count()},
            {"startP99Us", startTimes.quantile(0.99).count()},
            {"heapBytesPerTaskWithLog", bytesPerTask},
            {"rebuildMs", (processorMicroseconds() - beforeRebuild) / 1000}};
}

// Measures an exchange between a holder and a ledger, averaged over all holders.
Json ledgerRow(int targets, int holders)
{
    grants::SlotLedger ledger({Epoch{1}, {}, holders, false, {}}, Start);
    std::vector<grants::TargetCapacity> capacities;
    for (int n = 0; n < targets; ++n) {
        capacities.push_back({TargetId("target-" + std::to_string(n)), 8, 60, false});
    }
    ledger.setTargets(capacities, Start);
    std::vector<grants::GrantHolder> grantHolders;
    for (int n = 0; n < holders; ++n) {
        const grants::HolderId id{EntryHostId("entry-" + std::to_string(n)), 1, 0};
        ledger.admit(std::vector<grants::HolderId>{id}, Start);
        grantHolders.emplace_back(grants::LedgerKey{PoolName("p"), RegionName("r")}, id);
    }
    constexpr int rounds = 50;
    TimePoint now = Start;
    const double before = processorMicroseconds();
    for (int round = 0; round < rounds; ++round) {
        now += 2s;
        for (auto &it : grantHolders) {
            const auto request = it.nextRequest(20 + round % 7, false, now);
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(offer, ledger.handle(*request, now));
                    return it.accept(offer);
                },
                [](const Failure &) {});
        }
    }
    return {{"targets", targets},
            {"holders", holders},
            {"exchangeUs", (processorMicroseconds() - before) / (rounds * holders)}};
}

} // namespace

Json measureScale(std::uint64_t seed)
{
    Json rows = Json::array();
    for (const int nodes : {9, 30, 90}) {
        rows.push_back(scaleRow(nodes, seed));
    }
    return {{"scale", std::move(rows)}};
}

Json measurePlacement()
{
    Json rows = Json::array();
    for (const int workers : {170, 1'700, 17'000}) {
        rows.push_back(placementRow(workers));
    }
    return {{"placement", std::move(rows)}};
}

Json measureSlots()
{
    Json rows = Json::array();
    for (const int targets : {16, 65, 260}) {
        rows.push_back(ledgerRow(targets, 9));
    }
    rows.push_back(ledgerRow(65, 36));
    return {{"ledger", std::move(rows)}};
}

} // namespace monsoonspool::bench
