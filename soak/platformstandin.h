#pragma once

#include "soak/connectionbehavior.h"
#include "soak/faultcounts.h"
#include "soak/history.h"

#include "common/error.h"
#include "ports/hostlist.h"

#include <memory>

namespace monsoonspool::soak {

struct PlatformOptions
{
    std::uint64_t seed = 1;
    int workers = 6;
    ConnectionKind connections = ConnectionKind::Keep;
    Duration storeDelay{0}; // of each answer of the store
};

// The store and the workers, on a thread of their own.
class PlatformStandIn
{
public:
    PlatformStandIn(const PlatformOptions &options, Recorder &recorder, FaultCounts &faults);
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    // Listens, registers the workers and starts the thread. Fails with AddressInUse.
    Result<void> start();

    // Makes the store answer no call any more. Thread-safe, after start().
    void silenceStore();

    // Returns the address of the store, after start().
    ports::Address storeAddress() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::soak
