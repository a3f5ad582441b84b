#include "documents/servicedocument.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace monsoonspool::documents {

namespace {

// Absorbs the rounding error of sums of decimal fractions such as 0.1 + 0.2.
constexpr double ShareTolerance = 1e-9;

double sumOfShares(const ServiceDocument &document)
{
    double sum = 0;
    for (const auto &it : document.urgency) {
        sum += it.guaranteedShare;
    }
    return sum;
}

std::string classPath(std::size_t n, std::string_view key)
{
    return "urgency/" + std::to_string(n) + "/" + std::string(key);
}

void checkClasses(const ServiceDocument &document, std::vector<DocumentFault> &faults)
{
    std::set<std::string_view> names;
    std::set<int> ranks;
    for (std::size_t n = 0; n < document.urgency.size(); ++n) {
        const auto &it = document.urgency[n];
        if (!names.insert(it.name).second) {
            faults.push_back(
                {classPath(n, "name"), "must be unique among the classes; '" + it.name + "' is a duplicate"});
        }
        if (!ranks.insert(it.rank).second) {
            faults.push_back({classPath(n, "rank"),
                              "must be unique among the classes; " + std::to_string(it.rank) + " is a duplicate"});
        }
        if (it.deadline > document.timeLimit) {
            faults.push_back(
                {classPath(n, "deadlineMs"),
                 "must be at most timeLimitMs, which is " + std::to_string(toMilliseconds(document.timeLimit))});
        }
    }
}

} // namespace

const UrgencyClass *ServiceDocument::findClass(std::string_view name) const
{
    if (urgency.empty()) {
        return nullptr;
    }
    if (name.empty()) {
        return &*std::ranges::max_element(urgency, {}, &UrgencyClass::rank);
    }
    const auto it = std::ranges::find(urgency, name, &UrgencyClass::name);
    return it == urgency.end() ? nullptr : &*it;
}

std::vector<DocumentFault> findFaults(const ServiceDocument &document)
{
    std::vector<DocumentFault> faults;
    checkClasses(document, faults);
    if (sumOfShares(document) > 1 + ShareTolerance) {
        faults.push_back({"urgency", "the guaranteedShare values must add up to at most 1"});
    }
    if (document.connectionsPerTarget < document.slotsPerTarget) {
        faults.push_back({"target/connections",
                          "must be at least target/slots, which is " + std::to_string(document.slotsPerTarget)});
    }
    return faults;
}

std::vector<DocumentFault> findConflicts(const ServiceDocument &candidate, std::span<const ServiceDocument> others)
{
    std::vector<DocumentFault> faults;
    double shares = sumOfShares(candidate);
    for (const auto &it : others) {
        if (it.service == candidate.service) {
            continue;
        }
        for (const auto &name : candidate.hostNames) {
            if (std::ranges::find(it.hostNames, name) != it.hostNames.end()) {
                faults.push_back(
                    {"hostNames", "'" + name + "' is already a host name of the service " + it.service.text()});
            }
        }
        if (it.pool != candidate.pool) {
            continue;
        }
        shares += sumOfShares(it);
        if (it.slotsPerTarget != candidate.slotsPerTarget
            || it.connectionsPerTarget != candidate.connectionsPerTarget) {
            faults.push_back({"target",
                              "must equal the target settings of " + it.service.text() + ", which shares the pool "
                                  + candidate.pool.text()});
        }
    }
    if (shares > 1 + ShareTolerance) {
        faults.push_back({"urgency",
                          "the guaranteedShare values of all services of the pool " + candidate.pool.text()
                              + " must add up to at most 1"});
    }
    return faults;
}

} // namespace monsoonspool::documents
