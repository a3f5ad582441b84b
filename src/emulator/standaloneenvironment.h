#pragma once

#include "common/error.h"
#include "daemon/settings.h"
#include "emulator/emulatedplatform.h"

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::emulator {

// A self-contained environment to try the daemon in: an in-memory platform, sample
// targets on a separate thread, workers, and two sample documents, of an ordering
// service and a permit service.
class StandaloneEnvironment
{
public:
    explicit StandaloneEnvironment(ports::Scheduler &scheduler);
    ~StandaloneEnvironment();
    StandaloneEnvironment(const StandaloneEnvironment &) = delete;
    StandaloneEnvironment &operator=(const StandaloneEnvironment &) = delete;

    // Starts the targets and fills the host list. Fails with AddressInUse.
    Result<void> start(const daemon::Settings &settings);

    EmulatedPlatform &platform();

    // Returns the services and texts of the sample documents.
    static std::vector<std::pair<std::string_view, std::string_view>> documents();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::emulator
