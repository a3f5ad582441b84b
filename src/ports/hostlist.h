#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "ports/asyncresult.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonspool::ports {

// An IP address and port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(const Address &) const = default;
};

enum class HostState {
    Live,
    Leaving,
};

struct ListedEntryHost
{
    EntryHostId id;
    Address peerAddress;
    RegionName region;
    HostState state = HostState::Live;
};

struct ListedTarget
{
    TargetId id;
    PoolName pool;
    Address address;
    RegionName region;
    FailureDomain domain;
    HostState state = HostState::Live;

    bool operator==(const ListedTarget &) const = default;
};

struct ListedWorker
{
    WorkerId id;
    FailureDomain domain;
    std::string rack;
    Resources capacity;
    Address address;
    HostState state = HostState::Live;

    bool operator==(const ListedWorker &) const = default;
};

struct HostListing
{
    std::vector<ListedEntryHost> entryHosts;
    std::vector<ListedTarget> targets;
    std::vector<ListedWorker> workers;
};

// The platform's list of live and leaving hosts. It lags behind: it may list
// dead hosts as live and omit live ones.
//
// Failures: StoreUnavailable.
// Not thread-safe. Handlers are called on the thread that makes the calls.
class HostList
{
public:
    virtual ~HostList() = default;
    virtual void list(Handler<HostListing> handler) = 0;
};

} // namespace monsoonspool::ports
