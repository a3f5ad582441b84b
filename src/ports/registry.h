#pragma once

#include "common/error.h"
#include "jobs/queuepolicy.h"
#include "ports/changestore.h"
#include "ports/workerlink.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// Maps the URLs of client requests to a queue.
struct QueueRoute
{
    std::string host; // of the URL
    std::string pathPrefix;
    Duration timeout{0}; // of one request
    jobs::QueuePolicy policy;
};

// The operator's complete configuration. Versions increase, but are not consecutive.
struct Configuration
{
    std::int64_t version = 0;
    std::vector<QueueRoute> routes;
};

// Location and encoding of the configuration, of the evacuations and of the list of workers in the store.
// Decoding fails with InvalidDocument or MalformedMessage.
class Registry
{
public:
    virtual ~Registry() = default;

    virtual RowName configurationRow() const = 0;
    virtual std::string workersTable() const = 0;
    virtual Result<Configuration> decodeConfiguration(std::string_view value) const = 0;
    // Decodes the name of a row in the table of the configuration. Returns the failure domain that
    // the row evacuates while it is stored, whatever its value, or nothing for a row of another kind.
    virtual Result<std::optional<FailureDomain>> decodeEvacuation(const RowName &name) const = 0;
    virtual Result<WorkerEntry> decodeWorker(std::string_view key, std::string_view value) const = 0;
};

} // namespace monsoonspool::ports
