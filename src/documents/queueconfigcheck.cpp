#include "documents/queueconfigcheck.h"

#include <algorithm>
#include <set>
#include <utility>

namespace monsoonspool::documents {

namespace {

class Findings
{
public:
    void error(std::string_view name, ConfigPlace place, std::string text)
    {
        m_findings.push_back({Severity::Error, name, place, std::move(text)});
    }
    void warn(std::string_view name, ConfigPlace place, std::string text)
    {
        m_findings.push_back({Severity::Warning, name, place, std::move(text)});
    }
    std::vector<ConfigFinding> take()
    {
        return std::move(m_findings);
    }

private:
    std::vector<ConfigFinding> m_findings;
};

ConfigPlace routePlace(std::size_t index, ConfigField field)
{
    return {ConfigSection::Routes, index, field};
}

ConfigPlace servicePlace(std::size_t index, ConfigField field)
{
    return {ConfigSection::Services, index, field};
}

ConfigPlace limitPlace(ConfigField field)
{
    return {ConfigSection::Limits, 0, field};
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

std::string inMilliseconds(Duration d)
{
    return std::to_string(toMilliseconds(d)) + " ms";
}

// Returns the name of a route for a sentence.
std::string queueName(const RouteEntry &route)
{
    return route.name ? quoted(*route.name) : std::string("without a name");
}

// Hosts select a route by the Host field without its port, compared byte by byte.
void checkHost(const RouteEntry &route, std::size_t n, Findings &findings)
{
    if (!route.host) {
        return;
    }
    const auto place = routePlace(n, ConfigField::Host);
    if (route.host->empty()) {
        findings.warn("host-empty", place, "Only requests that name no host select this route.");
    } else if (route.host->find(':') != std::string::npos) {
        findings.warn("host-with-port", place,
                      "No request selects this route, since the port of a request's host is ignored.");
    } else if (std::ranges::any_of(*route.host, [](char c) { return c >= 'A' && c <= 'Z'; })) {
        findings.warn("host-upper-case", place,
                      "Hosts are compared with their case, so that requests with the name in lower case do not select "
                      "this route.");
    }
}

// The path of a request ends before its query, and is compared as it was sent. What follows the prefix
// is the name of a job.
void checkPrefix(const RouteEntry &route, std::size_t n, Findings &findings)
{
    if (!route.pathPrefix) {
        return;
    }
    const auto place = routePlace(n, ConfigField::PathPrefix);
    const std::string_view prefix = *route.pathPrefix;
    if (prefix.empty()) {
        findings.warn(
            "prefix-not-absolute", place,
            "Any path begins with an empty prefix, but what follows begins with '/' and names no job, so that "
            "every request is answered 404.");
    } else if (prefix.find_first_of("? ") != std::string_view::npos) {
        findings.warn("prefix-never-matches", place,
                      "No request selects this route, since a path contains neither '?' nor a space.");
    } else if (!prefix.starts_with('/')) {
        findings.warn("prefix-not-absolute", place,
                      "The paths that ordinary clients send begin with '/', so that none begins with this prefix.");
    } else if (!prefix.ends_with('/')) {
        findings.warn("prefix-without-final-slash", place,
                      "The name of a job follows the prefix directly, so that a '/' between them is answered 404.");
    }
}

void checkObjective(const RouteEntry &route, std::size_t n, Findings &findings)
{
    if (route.timeout && route.targetLatency && *route.timeout > Duration(0) && *route.timeout < *route.targetLatency) {
        findings.warn("timeout-below-target-latency", routePlace(n, ConfigField::Timeout),
                      "The timeout of a request, " + inMilliseconds(*route.timeout)
                          + ", is below the target latency of the queue, " + inMilliseconds(*route.targetLatency)
                          + ".");
    }
    if (route.targetLatency == Duration(0)) {
        findings.warn("target-latency-zero", routePlace(n, ConfigField::TargetLatency),
                      "The target latency is 0 or missing, so that the objective leaves no time for waiting beyond the "
                      "stretched run time.");
    }
    if (route.stretch == 0.0) {
        findings.warn("stretch-zero", routePlace(n, ConfigField::Stretch),
                      "The stretch is 0, so that the objective leaves no time for the run time of a job.");
    }
    if (route.maxAttempts == 0) {
        findings.warn("max-attempts-zero", routePlace(n, ConfigField::MaxAttempts),
                      "A job fails with the first failed run of a task, as with 1 attempt.");
    }
}

// Reports routes with the name of an earlier one, and routes that no request selects because an earlier
// one has the same host and prefix.
void checkDuplicateRoutes(const QueueConfig &config, Findings &findings)
{
    std::map<std::string_view, std::size_t> names;
    using Address = std::pair<std::string_view, std::string_view>;
    std::map<Address, std::size_t> addresses;
    for (std::size_t n = 0; n < config.routes.size(); ++n) {
        const auto &route = config.routes[n];
        if (route.name) {
            const auto [it, isNew] = names.emplace(*route.name, n);
            if (!isNew) {
                findings.error("duplicate-route-name", routePlace(n, ConfigField::Name),
                               "Queue " + quoted(*route.name) + " is also route " + std::to_string(it->second)
                                   + "; the last of them determines its policy.");
            }
        }
        if (route.host && route.pathPrefix) {
            const auto [it, isNew] = addresses.emplace(Address(*route.host, *route.pathPrefix), n);
            if (!isNew) {
                findings.error("route-shadowed", routePlace(n, ConfigField::None),
                               "No request selects this route, since route " + std::to_string(it->second)
                                   + " has the same host and path prefix.");
            }
        }
    }
}

void checkServices(const QueueConfig &config, Findings &findings)
{
    if (!config.services) {
        return;
    }
    std::map<std::string_view, const ServiceEntry *> listed;
    for (std::size_t n = 0; n < config.services->size(); ++n) {
        const auto &service = (*config.services)[n];
        if (service.name && !listed.emplace(*service.name, &service).second) {
            findings.error("duplicate-service-name", servicePlace(n, ConfigField::Name),
                           "Service " + quoted(*service.name) + " is listed more than once.");
        }
    }
    std::set<std::string_view> used;
    for (std::size_t n = 0; n < config.routes.size(); ++n) {
        const auto &route = config.routes[n];
        if (!route.service) {
            continue;
        }
        used.insert(*route.service);
        const auto it = listed.find(*route.service);
        if (it == listed.end()) {
            findings.error("service-not-listed", routePlace(n, ConfigField::Service),
                           "Service " + quoted(*route.service) + " of queue " + queueName(route) + " is not listed.");
        } else if (it->second->isSpare == true) {
            findings.warn("spare-service-used", routePlace(n, ConfigField::Service),
                          "Service " + quoted(*route.service) + " is marked as spare, but queue " + queueName(route)
                              + " uses it.");
        }
    }
    for (std::size_t n = 0; n < config.services->size(); ++n) {
        const auto &service = (*config.services)[n];
        if (config.areRoutesReadable && service.name && service.isSpare == false && !used.contains(*service.name)) {
            findings.warn("service-unused", servicePlace(n, ConfigField::None),
                          "No route uses service " + quoted(*service.name) + ".");
        }
    }
}

void checkLimits(const RequestLimits &limits, const ReaderLimits &readers, Findings &findings)
{
    if (limits.headerTimeout && limits.idleTimeout && *limits.headerTimeout > *limits.idleTimeout) {
        findings.warn("header-timeout-above-idle-timeout", limitPlace(ConfigField::HeaderTimeout),
                      "The time for the header, " + inMilliseconds(*limits.headerTimeout)
                          + ", is above the time after which an idle connection is closed, "
                          + inMilliseconds(*limits.idleTimeout) + ".");
    }
    const auto checkSize
        = [&](const std::optional<std::int64_t> &size, std::int64_t max, std::string_view name, ConfigField field) {
              if (size && *size > max) {
                  findings.warn(name, limitPlace(field),
                                "The hosts reject more than " + std::to_string(max) + " bytes, although "
                                    + std::to_string(*size) + " are allowed here.");
              }
          };
    checkSize(limits.headerBytes, readers.headerBytes, "header-limit-above-reader", ConfigField::HeaderBytes);
    checkSize(limits.bodyBytes, readers.bodyBytes, "body-limit-above-reader", ConfigField::BodyBytes);
}

const RouteEntry *findQueue(const QueueConfig &config, std::string_view name)
{
    const auto it = std::ranges::find_if(config.routes, [&](const RouteEntry &route) { return route.name == name; });
    return it == config.routes.end() ? nullptr : &*it;
}

// Returns a sentence on what requests to the address of `former` select in `config`.
std::string requestsToAddressOf(const RouteEntry &former, const QueueConfig &config)
{
    const RouteEntry *best = nullptr;
    for (const auto &it : config.routes) {
        const bool isMatch = it.host && it.pathPrefix && former.host && former.pathPrefix && *it.host == *former.host
            && former.pathPrefix->starts_with(*it.pathPrefix);
        if (isMatch && (best == nullptr || it.pathPrefix->size() > best->pathPrefix->size())) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return "requests to its former address are answered 404";
    }
    if (best->pathPrefix == former.pathPrefix) {
        return "requests to its former address select queue " + queueName(*best);
    }
    // The rest of the path would be longer than a job's name.
    return "requests to its former address select queue " + queueName(*best) + ", where they name no job";
}

} // namespace

std::vector<ConfigFinding> checkQueueConfig(const QueueConfig &config, const ReaderLimits &readers)
{
    Findings findings;
    if (config.routes.empty() && config.areRoutesReadable) {
        findings.warn("no-routes", {ConfigSection::Routes},
                      "There is no queue, so that every request is answered 404.");
    }
    for (std::size_t n = 0; n < config.routes.size(); ++n) {
        checkHost(config.routes[n], n, findings);
        checkPrefix(config.routes[n], n, findings);
        checkObjective(config.routes[n], n, findings);
    }
    checkDuplicateRoutes(config, findings);
    checkServices(config, findings);
    checkLimits(config.limits, readers, findings);
    return findings.take();
}

std::vector<ConfigFinding> checkReplacement(const QueueConfig &config, const QueueConfig &inForce)
{
    Findings findings;
    if (config.version && inForce.version && *config.version <= *inForce.version) {
        findings.error("version-not-above", {ConfigSection::Document, 0, ConfigField::Version},
                       "The hosts ignore version " + std::to_string(*config.version) + ", since version "
                           + std::to_string(*inForce.version) + " is in force.");
    }
    // A queue without a readable name may be any of the former ones.
    const bool areNamesKnown = config.areRoutesReadable
        && std::ranges::all_of(config.routes, [](const RouteEntry &it) { return it.name.has_value(); });
    for (std::size_t n = 0; n < inForce.routes.size(); ++n) {
        const auto &former = inForce.routes[n];
        if (!former.name) {
            continue;
        }
        const ConfigPlace place{ConfigSection::Routes, n, ConfigField::None, true};
        const auto *route = findQueue(config, *former.name);
        if (route == nullptr && !areNamesKnown) {
            continue;
        }
        if (route == nullptr) {
            findings.warn("queue-dropped", place,
                          "Queue " + queueName(former) + " is dropped; jobs that it holds still run, and "
                              + requestsToAddressOf(former, config) + ".");
            continue;
        }
        if (route->host && route->pathPrefix
            && (route->host != former.host || route->pathPrefix != former.pathPrefix)) {
            findings.warn("queue-address-changed", place,
                          "Queue " + queueName(former) + " gets another address; " + requestsToAddressOf(former, config)
                              + ".");
        }
        if (route->service && former.service && route->service != former.service) {
            findings.warn("queue-service-changed", place,
                          "Tasks of queue " + queueName(former)
                              + " that start later, also those of jobs that it holds, " + "run on workers of service "
                              + quoted(*route->service) + ".");
        }
    }
    return findings.take();
}

std::vector<ConfigChange> compareEntries(ConfigSection section, std::span<const PlainEntry> before,
                                         std::span<const PlainEntry> after)
{
    std::vector<ConfigChange> changes;
    const auto find = [](std::span<const PlainEntry> entries, const std::string &name) {
        const auto it = std::ranges::find(entries, name, &PlainEntry::name);
        return it == entries.end() ? nullptr : &*it;
    };
    for (const auto &former : before) {
        const auto *entry = find(after, former.name);
        if (entry == nullptr) {
            changes.push_back({ChangeKind::Removed, section, former.name, {}, {}, {}});
            continue;
        }
        std::set<std::string_view> names;
        for (const auto *fields : {&former.fields, &entry->fields}) {
            for (const auto &[name, text] : *fields) {
                names.insert(name);
            }
        }
        const auto textOf = [](const PlainEntry &it, std::string_view name) {
            const auto field = it.fields.find(std::string(name));
            return field == it.fields.end() ? std::string() : field->second;
        };
        for (const auto name : names) {
            auto formerText = textOf(former, name);
            auto text = textOf(*entry, name);
            if (formerText != text) {
                changes.push_back({ChangeKind::Changed, section, former.name, std::string(name), std::move(formerText),
                                   std::move(text)});
            }
        }
    }
    for (const auto &it : after) {
        if (find(before, it.name) == nullptr) {
            changes.push_back({ChangeKind::Added, section, it.name, {}, {}, {}});
        }
    }
    return changes;
}

} // namespace monsoonspool::documents
