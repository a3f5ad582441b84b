#pragma once

#include "bench/nodeplatform.h"
#include "bench/simulation.h"
#include "control/controlloop.h"
#include "emulator/emulatedplatform.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace monsoonspool::bench {

// Faults of the emulated platform that a scenario can switch.
class SwitchedFaults : public ports::FaultPlan
{
public:
    bool isDown = false;
    Duration delay = 2ms;
    double lostReplies = 0;

    explicit SwitchedFaults(std::uint64_t seed) : m_generator(seed)
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
    double cpuSeconds = 0; // of the control part
};

struct ClusterOptions
{
    std::uint64_t seed = 1;
    Duration startWindow = 660s;
    bool measuresCpu = false;
};

// The system itself between guests and targets: the control part and one
// dispatcher for each pool of every entry host, joined by a network that delays,
// loses, repeats and reorders messages, over an emulated platform.
class SimulatedCluster : public RequestPath
{
public:
    SimulatedCluster(Simulation &simulation, ClusterOptions options);
    ~SimulatedCluster() override;

    void submit(const GuestCall &call) override;
    void applyFault(const ScenarioFault &fault) override;

    // Returns the totals of all nodes.
    NodeStats stats() const;
    int nodeCount() const;

    // Returns the control part of a node; nullptr if it is dead.
    control::ControlLoop *loop(std::size_t node);
    emulator::EmulatedPlatform &platform();
    SwitchedFaults &faults();
    std::uint64_t linkBytes() const;

private:
    struct Node;
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::bench
