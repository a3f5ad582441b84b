#pragma once

#include "documents/queueconfig.h"

#include <span>

// Checks of a configuration of queues, without input or output.
namespace monsoonspool::documents {

// Limits of the hosts' readers of requests, whatever the configuration states.
struct ReaderLimits
{
    std::int64_t headerBytes = 0;
    std::int64_t bodyBytes = 0;
};

// Checks one configuration by itself. An error is what the hosts do not apply, or what contradicts
// itself; a warning is applied, but is probably not what the operator wants.
std::vector<ConfigFinding> checkQueueConfig(const QueueConfig &config, const ReaderLimits &readers);

// Checks what replacing `inForce` by `config` does to the version, to queues that may hold jobs and to
// their clients.
std::vector<ConfigFinding> checkReplacement(const QueueConfig &config, const QueueConfig &inForce);

// Returns the differences between the entries of one section, which are compared by name. The order of
// the entries does not count.
std::vector<ConfigChange> compareEntries(ConfigSection section, std::span<const PlainEntry> before,
                                         std::span<const PlainEntry> after);

} // namespace monsoonspool::documents
