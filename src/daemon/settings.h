#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "http/connectionbudget.h"
#include "ports/hostlist.h"
#include "traffic/laneoptions.h"

#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::daemon {

// The configuration of a daemon. All other configuration comes from the platform.
struct Settings
{
    EntryHostId name;
    RegionName region;
    FailureDomain domain;
    ports::Address guestAddress;
    ports::Address operatorAddress;
    ports::Address peerAddress;
    std::optional<ports::Address> platformAddress; // not set in standalone mode
    int trafficThreads = 1;
    int maxEntryHosts = 9;
    Duration startWindow = 660s;
    Duration recordWindow = 40ms;
    traffic::GuestLimits limits; // `bufferedBytes` is shared by all traffic threads
    // Connections of operators and what they hold; at most a sixteenth of the usable descriptors.
    http::BudgetLimits operatorBudget{128, 32 * 1024 * 1024};
    routing::DispatchPolicy policy;
    std::string keyFile; // one key per line; the first is used for outgoing connections
    std::string logLevel = "info";
    std::string logFormat = "keyvalue";
};

} // namespace monsoonspool::daemon
