#pragma once

#include "bench/nodeplatform.h"
#include "bench/simulation.h"
#include "control/controlloop.h"
#include "emulator/emulatedplatform.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace monsoonspool::bench {

// Faults of the emulated platform that a scenario turns on and off.
class SwitchableFaultPlan : public ports::FaultPlan
{
public:
    bool isDown = false;
    Duration delay = 2ms;
    double replyLossProbability = 0; // of each call

    explicit SwitchableFaultPlan(std::uint64_t seed) : m_generator(seed)
    {
    }
    ports::Fault next(std::string_view name, std::uint64_t n, TimePoint now) override;

private:
    boost::random::mt19937_64 m_generator;
};

struct NodeStats
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t farBytes = 0;
    double cpuSeconds = 0; // of the control thread
};

struct ClusterOptions
{
    std::uint64_t seed = 1;
    Duration startWindow = 660s;
    bool measuresCpu = false;
};

// The system under test as a request router: every entry host has a control loop
// and one dispatcher per pool. The simulated network between the hosts delays,
// drops, duplicates and reorders messages, and the platform is emulated.
class SimulatedCluster : public RequestRouter
{
public:
    SimulatedCluster(Simulation &simulation, ClusterOptions options);
    ~SimulatedCluster() override;

    void submit(const SimulatedRequest &request) override;
    void applyFault(const ScenarioFault &fault) override;

    // Returns the totals of all nodes.
    NodeStats stats() const;
    int nodeCount() const;

    // Returns the control loop of a node, or nullptr if the node is dead.
    control::ControlLoop *loop(std::size_t node);
    emulator::EmulatedPlatform &platform();
    SwitchableFaultPlan &faults();
    std::uint64_t linkBytes() const;

private:
    struct Node;
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::bench
