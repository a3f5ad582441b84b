#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::documents {

// An urgency class of a service. Lower ranks are more urgent.
struct UrgencyClass
{
    std::string name;
    int rank = 0;
    Duration deadline = 10s; // default of requests that specify none
    double guaranteedShare = 0; // fraction of the pool's slots, 0 to 1
    int queueLimit = 1000; // requests waiting at one entry host

    bool operator==(const UrgencyClass &) const = default;
};

// Handling of keyed, non-idempotent requests while the table service is unavailable.
enum class StoreOutagePolicy {
    Wait, // queue until the record can be written or the deadline cannot be met
    SendUnrecorded, // send without a record, at most once from this entry host
};

// Behavior of a service under overload and failures.
struct PressurePolicy
{
    StoreOutagePolicy storeOutage = StoreOutagePolicy::Wait;
    double retryBudget = 0.1; // retries and hedges as a fraction of fresh requests
    bool mayHedge = false;
    Duration hedgeAfter = 500ms;
    int maxEvictionsPerHour = 4; // of one job
};

// Resources that one instance of the service needs.
struct InstanceRequirements
{
    Resources resources;
    int instances = 0; // kept running by placement; 0: the team runs them itself
};

// A validation error of a document.
struct DocumentFault
{
    std::string path; // for example "urgency/0/deadlineMs"
    std::string problem; // the expected value, for example "must be 1 to 8"
};

// The configuration of one service: its resources, urgency classes, and behavior under
// overload and failures.
//
// Invariants of a validated document:
//  - the urgency classes have distinct names and ranks,
//  - the guaranteed shares add up to at most 1,
//  - no default deadline exceeds the time limit of a request,
//  - a target takes at least as many connections as it has slots.
//
// Thread-compatible.
struct ServiceDocument
{
    ServiceName service;
    TeamName team;
    PoolName pool; // services that name the same pool share its targets
    std::vector<std::string> hostNames; // matched against the Host field
    bool isIdempotent = false; // requests may be sent more than once
    double weight = 1; // among the services of the pool
    Duration timeLimit = 30s; // longest run of one request at a target
    int slotsPerTarget = 8;
    int connectionsPerTarget = 60;
    int teamQuotaMilliCores = 0; // for batch tasks of the team; 0 is unlimited
    InstanceRequirements needs;
    std::vector<UrgencyClass> urgency;
    PressurePolicy pressure;

    // Returns the class called `name`, the least urgent one if `name` is empty,
    // or nullptr if there is none.
    const UrgencyClass *findClass(std::string_view name) const;
};

// Returns all violations of the invariants above.
std::vector<DocumentFault> findFaults(const ServiceDocument &document);

// Returns the conflicts of `candidate` with the documents of other services: services
// that share a pool must have equal target settings, host names must be unique, and the
// guaranteed shares of all services of a pool must add up to at most 1.
std::vector<DocumentFault> findConflicts(const ServiceDocument &candidate, std::span<const ServiceDocument> others);

} // namespace monsoonspool::documents
