#include "codec/typejson.h"

namespace monsoonspool {

using nlohmann::json;

namespace {

std::int64_t microseconds(Duration d)
{
    return d.count();
}

std::string_view stateName(ports::HostState state)
{
    return state == ports::HostState::Live ? "live" : "leaving";
}

ports::HostState stateFrom(const json &value)
{
    return value.get<std::string>() == "live" ? ports::HostState::Live : ports::HostState::Leaving;
}

} // namespace

void to_json(json &value, const Epoch &epoch)
{
    value = epoch.value;
}

void from_json(const json &value, Epoch &epoch)
{
    epoch.value = value.get<std::uint64_t>();
}

void to_json(json &value, const Resources &resources)
{
    value = {{"milliCores", resources.milliCores},
             {"memoryMiB", resources.memoryMiB},
             {"accelerators", resources.accelerators}};
}

void from_json(const json &value, Resources &resources)
{
    value.at("milliCores").get_to(resources.milliCores);
    value.at("memoryMiB").get_to(resources.memoryMiB);
    value.at("accelerators").get_to(resources.accelerators);
}

namespace grants {

void to_json(json &value, const LedgerKey &ledger)
{
    value = {ledger.pool.text(), ledger.region.text()};
}

void from_json(const json &value, LedgerKey &ledger)
{
    value.at(0).get_to(ledger.pool);
    value.at(1).get_to(ledger.region);
}

void to_json(json &value, const HolderId &holder)
{
    value = {holder.host.text(), holder.incarnation, holder.lane};
}

void from_json(const json &value, HolderId &holder)
{
    value.at(0).get_to(holder.host);
    value.at(1).get_to(holder.incarnation);
    value.at(2).get_to(holder.lane);
}

void to_json(json &value, const SlotCount &count)
{
    value = {count.target.text(), count.slots, count.connections};
}

void from_json(const json &value, SlotCount &count)
{
    value.at(0).get_to(count.target);
    value.at(1).get_to(count.slots);
    value.at(2).get_to(count.connections);
}

void to_json(json &value, const SlotRequest &request)
{
    value = {{"l", request.ledger},
             {"h", request.holder},
             {"s", request.sequence},
             {"ae", request.appliedEpoch},
             {"as", request.appliedSequence},
             {"w", request.wanted},
             {"lv", request.isLeaving},
             {"o", request.inUseOverLimit},
             {"f", request.isFar},
             {"il", request.unhealthy},
             {"sw", request.slow},
             {"re", request.holdingsEpoch},
             {"hd", request.holdings}};
}

void from_json(const json &value, SlotRequest &request)
{
    value.at("l").get_to(request.ledger);
    value.at("h").get_to(request.holder);
    value.at("s").get_to(request.sequence);
    value.at("ae").get_to(request.appliedEpoch);
    value.at("as").get_to(request.appliedSequence);
    value.at("w").get_to(request.wanted);
    value.at("lv").get_to(request.isLeaving);
    value.at("f").get_to(request.isFar);
    value.at("il").get_to(request.unhealthy);
    value.at("sw").get_to(request.slow);
    value.at("o").get_to(request.inUseOverLimit);
    value.at("re").get_to(request.holdingsEpoch);
    value.at("hd").get_to(request.holdings);
}

void to_json(json &value, const SlotOffer &offer)
{
    value = {{"l", offer.ledger},
             {"h", offer.holder},
             {"s", offer.sequence},
             {"e", offer.epoch},
             {"w", microseconds(offer.startWindow)},
             {"q", offer.wantsHoldings},
             {"u", offer.isUnchanged},
             {"sl", offer.slots},
             {"su", offer.suspects}};
}

void from_json(const json &value, SlotOffer &offer)
{
    value.at("l").get_to(offer.ledger);
    value.at("h").get_to(offer.holder);
    value.at("s").get_to(offer.sequence);
    value.at("e").get_to(offer.epoch);
    offer.startWindow = Duration(value.at("w").get<std::int64_t>());
    value.at("q").get_to(offer.wantsHoldings);
    value.at("u").get_to(offer.isUnchanged);
    value.at("sl").get_to(offer.slots);
    value.at("su").get_to(offer.suspects);
}

} // namespace grants

namespace membership {

void to_json(json &value, const OwnedPartition &owned)
{
    value = {owned.partition.text(), owned.epoch.value};
}

void from_json(const json &value, OwnedPartition &owned)
{
    value.at(0).get_to(owned.partition);
    value.at(1).get_to(owned.epoch);
}

void to_json(json &value, const Heartbeat &heartbeat)
{
    value = {{"h", heartbeat.host},         {"i", heartbeat.incarnation}, {"a", heartbeat.peerAddress},
             {"r", heartbeat.region},       {"lv", heartbeat.isLeaving},  {"st", heartbeat.isStoreReachable},
             {"f", heartbeat.feedPosition}, {"o", heartbeat.owned}};
}

void from_json(const json &value, Heartbeat &heartbeat)
{
    value.at("h").get_to(heartbeat.host);
    value.at("i").get_to(heartbeat.incarnation);
    value.at("a").get_to(heartbeat.peerAddress);
    value.at("r").get_to(heartbeat.region);
    value.at("lv").get_to(heartbeat.isLeaving);
    value.at("st").get_to(heartbeat.isStoreReachable);
    value.at("f").get_to(heartbeat.feedPosition);
    value.at("o").get_to(heartbeat.owned);
}

} // namespace membership

namespace ports {

void to_json(json &value, const Address &address)
{
    value = {{"ip", address.ip}, {"port", address.port}};
}

void from_json(const json &value, Address &address)
{
    value.at("ip").get_to(address.ip);
    value.at("port").get_to(address.port);
}

void to_json(json &value, const HostListing &listing)
{
    json entryHosts = json::array();
    for (const auto &it : listing.entryHosts) {
        entryHosts.push_back(
            {{"id", it.id}, {"peerAddress", it.peerAddress}, {"region", it.region}, {"state", stateName(it.state)}});
    }
    json targets = json::array();
    for (const auto &it : listing.targets) {
        targets.push_back({{"id", it.id},
                           {"pool", it.pool},
                           {"address", it.address},
                           {"region", it.region},
                           {"failureDomain", it.domain},
                           {"state", stateName(it.state)}});
    }
    json workers = json::array();
    for (const auto &it : listing.workers) {
        workers.push_back({{"id", it.id},
                           {"failureDomain", it.domain},
                           {"rack", it.rack},
                           {"capacity", it.capacity},
                           {"address", it.address},
                           {"state", stateName(it.state)}});
    }
    value = {{"entryHosts", std::move(entryHosts)}, {"targets", std::move(targets)}, {"workers", std::move(workers)}};
}

void from_json(const json &value, HostListing &listing)
{
    for (const auto &it : value.at("entryHosts")) {
        listing.entryHosts.push_back({it.at("id").get<EntryHostId>(), it.at("peerAddress").get<Address>(),
                                      it.at("region").get<RegionName>(), stateFrom(it.at("state"))});
    }
    for (const auto &it : value.at("targets")) {
        listing.targets.push_back({it.at("id").get<TargetId>(), it.at("pool").get<PoolName>(),
                                   it.at("address").get<Address>(), it.at("region").get<RegionName>(),
                                   it.at("failureDomain").get<FailureDomain>(), stateFrom(it.at("state"))});
    }
    for (const auto &it : value.at("workers")) {
        listing.workers.push_back({it.at("id").get<WorkerId>(), it.at("failureDomain").get<FailureDomain>(),
                                   it.at("rack").get<std::string>(), it.at("capacity").get<Resources>(),
                                   it.at("address").get<Address>(), stateFrom(it.at("state"))});
    }
}

} // namespace ports

namespace placement {

void to_json(json &value, const JobSpec &spec)
{
    value = {{"team", spec.team},
             {"key", spec.key},
             {"command", spec.command},
             {"resources", spec.resources},
             {"urgency", spec.urgency == Urgency::Urgent ? "urgent" : "batch"}};
}

void from_json(const json &value, JobSpec &spec)
{
    value.at("team").get_to(spec.team);
    value.at("key").get_to(spec.key);
    value.at("command").get_to(spec.command);
    value.at("resources").get_to(spec.resources);
    spec.urgency = value.at("urgency").get<std::string>() == "urgent" ? Urgency::Urgent : Urgency::Batch;
}

void to_json(json &value, const JobView &view)
{
    value = {{"job", view.id},
             {"spec", view.spec},
             {"state", jobStateName(view.state)},
             {"attempts", view.attempts},
             {"evictions", view.evictions},
             {"cancelling", view.isCancelling},
             {"worker", view.worker},
             {"result", view.result}};
}

void from_json(const json &value, JobView &view)
{
    value.at("job").get_to(view.id);
    value.at("spec").get_to(view.spec);
    view.state = jobStateFromName(value.at("state").get<std::string>());
    value.at("attempts").get_to(view.attempts);
    value.at("evictions").get_to(view.evictions);
    value.at("cancelling").get_to(view.isCancelling);
    value.at("worker").get_to(view.worker);
    value.at("result").get_to(view.result);
}

} // namespace placement

namespace control {

void to_json(json &value, const JobCall &call)
{
    value = {{"i", call.id},   {"f", call.from}, {"d", call.domain}, {"k", static_cast<int>(call.kind)},
             {"s", call.spec}, {"j", call.job},  {"t", call.team}};
}

void from_json(const json &value, JobCall &call)
{
    value.at("i").get_to(call.id);
    value.at("f").get_to(call.from);
    value.at("d").get_to(call.domain);
    const int kind = value.at("k").get<int>();
    if (kind < 0 || kind > static_cast<int>(JobCall::Kind::List)) {
        throw json::other_error::create(501, "unknown job call kind", nullptr);
    }
    call.kind = static_cast<JobCall::Kind>(kind);
    value.at("s").get_to(call.spec);
    value.at("j").get_to(call.job);
    value.at("t").get_to(call.team);
}

void to_json(json &value, const JobReply &reply)
{
    value = {{"i", reply.id}, {"j", reply.jobs}};
    if (reply.failure) {
        value["e"] = errorInfo(reply.failure->kind).name;
        value["d"] = reply.failure->detail;
    }
}

void from_json(const json &value, JobReply &reply)
{
    value.at("i").get_to(reply.id);
    value.at("j").get_to(reply.jobs);
    if (value.contains("e")) {
        reply.failure = Failure{errorKindFromName(value.at("e").get<std::string>()), value.at("d").get<std::string>()};
    }
}

void to_json(json &value, const SlotRecall &recall)
{
    value = {{"l", recall.ledger}, {"h", recall.holder}};
}

void from_json(const json &value, SlotRecall &recall)
{
    value.at("l").get_to(recall.ledger);
    value.at("h").get_to(recall.holder);
}

void to_json(json &value, const ChangesRequest &request)
{
    value = {{"h", request.from}, {"p", request.position}};
}

void from_json(const json &value, ChangesRequest &request)
{
    value.at("h").get_to(request.from);
    value.at("p").get_to(request.position);
}

void to_json(json &value, const DocumentChange &change)
{
    value = {{"p", change.position}, {"s", change.service}, {"r", change.revision}, {"t", change.text}};
}

void from_json(const json &value, DocumentChange &change)
{
    value.at("p").get_to(change.position);
    value.at("s").get_to(change.service);
    value.at("r").get_to(change.revision);
    value.at("t").get_to(change.text);
}

void to_json(json &value, const DocumentChanges &changes)
{
    value = {{"c", changes.changes}};
}

void from_json(const json &value, DocumentChanges &changes)
{
    value.at("c").get_to(changes.changes);
}

} // namespace control

} // namespace monsoonspool
