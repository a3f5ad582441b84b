#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The operator's configuration of queues, as far as it is checked before it is sent. Knows no encoding.
namespace monsoonspool::documents {

// One queue and the requests that select it. A field that could not be read is not set, and is not checked.
struct RouteEntry
{
    std::optional<std::string> name;
    std::optional<std::string> host;
    std::optional<std::string> pathPrefix;
    std::optional<std::string> service;
    std::optional<Duration> timeout; // of one request; 0: the default of the hosts
    std::optional<Duration> targetLatency;
    std::optional<double> stretch;
    std::optional<int> maxAttempts;
};

struct ServiceEntry
{
    std::optional<std::string> name;
    std::optional<bool> isSpare = false;
};

// Limits on requests of clients.
struct RequestLimits
{
    std::optional<std::int64_t> headerBytes;
    std::optional<std::int64_t> bodyBytes;
    std::optional<Duration> headerTimeout;
    std::optional<Duration> idleTimeout;
};

struct QueueConfig
{
    std::optional<std::int64_t> version;
    std::vector<RouteEntry> routes;
    bool areRoutesReadable = true; // if not, the list is empty
    std::optional<std::vector<ServiceEntry>> services; // not set if the configuration has no such section
    RequestLimits limits;
};

enum class Severity {
    Warning,
    Error,
};

enum class ConfigSection {
    Document,
    Routes,
    Services,
    Limits,
};

enum class ConfigField {
    None, // the whole entry
    Version,
    Name,
    Host,
    PathPrefix,
    Service,
    Timeout,
    TargetLatency,
    Stretch,
    MaxAttempts,
    Spare,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
};

// A place in a configuration. The adapter of an encoding knows how it is written there.
struct ConfigPlace
{
    ConfigSection section = ConfigSection::Document;
    std::size_t index = 0; // of a route or a service
    ConfigField field = ConfigField::None;
    bool isInForce = false; // in the configuration in force, not in the checked one

    bool operator==(const ConfigPlace &) const = default;
};

struct ConfigFinding
{
    Severity severity = Severity::Warning;
    std::string_view name; // stable, for programs
    ConfigPlace place;
    std::string text; // one sentence
};

// An entry as a program without knowledge of its fields sees it: the texts of its fields by their names.
struct PlainEntry
{
    std::string name; // empty if there is only one entry
    std::map<std::string, std::string> fields;
};

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

// A difference between two configurations: an entry added or removed, or one field changed.
struct ConfigChange
{
    ChangeKind kind = ChangeKind::Changed;
    ConfigSection section = ConfigSection::Document;
    std::string entry;
    std::string field; // empty if the whole entry was added or removed
    std::string before; // empty if there was none
    std::string after;
};

} // namespace monsoonspool::documents
