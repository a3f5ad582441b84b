#pragma once

#include "codec/json.h"
#include "control/peermessages.h"
#include "grants/slotmessages.h"
#include "membership/heartbeat.h"
#include "placement/job.h"
#include "ports/hostlist.h"

// JSON conversions of the types that several encodings share. from_json() throws
// Json::exception if a key is missing or has the wrong type; decode() converts the
// exception to an error.
namespace monsoonspool {

template <typename Tag>
void to_json(nlohmann::json &json, const Identifier<Tag> &id)
{
    json = id.text();
}
template <typename Tag>
void from_json(const nlohmann::json &json, Identifier<Tag> &id)
{
    id = Identifier<Tag>(json.get_ref<const std::string &>());
}

void to_json(nlohmann::json &json, const Epoch &epoch);
void from_json(const nlohmann::json &json, Epoch &epoch);
void to_json(nlohmann::json &json, const Resources &resources);
void from_json(const nlohmann::json &json, Resources &resources);

namespace grants {
void to_json(nlohmann::json &json, const LedgerKey &ledger);
void from_json(const nlohmann::json &json, LedgerKey &ledger);
void to_json(nlohmann::json &json, const HolderId &holder);
void from_json(const nlohmann::json &json, HolderId &holder);
void to_json(nlohmann::json &json, const SlotCount &count);
void from_json(const nlohmann::json &json, SlotCount &count);
void to_json(nlohmann::json &json, const SlotRequest &request);
void from_json(const nlohmann::json &json, SlotRequest &request);
void to_json(nlohmann::json &json, const SlotOffer &offer);
void from_json(const nlohmann::json &json, SlotOffer &offer);
} // namespace grants

namespace membership {
void to_json(nlohmann::json &json, const OwnedPartition &owned);
void from_json(const nlohmann::json &json, OwnedPartition &owned);
void to_json(nlohmann::json &json, const Heartbeat &heartbeat);
void from_json(const nlohmann::json &json, Heartbeat &heartbeat);
} // namespace membership

namespace ports {
void to_json(nlohmann::json &json, const Address &address);
void from_json(const nlohmann::json &json, Address &address);
void to_json(nlohmann::json &json, const HostListing &listing);
void from_json(const nlohmann::json &json, HostListing &listing);
} // namespace ports

namespace placement {
void to_json(nlohmann::json &json, const JobSpec &spec);
void from_json(const nlohmann::json &json, JobSpec &spec);
void to_json(nlohmann::json &json, const JobView &view);
void from_json(const nlohmann::json &json, JobView &view);
} // namespace placement

namespace control {
void to_json(nlohmann::json &json, const SlotRecall &recall);
void from_json(const nlohmann::json &json, SlotRecall &recall);
void to_json(nlohmann::json &json, const ChangesRequest &request);
void from_json(const nlohmann::json &json, ChangesRequest &request);
void to_json(nlohmann::json &json, const DocumentChange &change);
void from_json(const nlohmann::json &json, DocumentChange &change);
void to_json(nlohmann::json &json, const JobCall &call);
void from_json(const nlohmann::json &json, JobCall &call);
void to_json(nlohmann::json &json, const JobReply &reply);
void from_json(const nlohmann::json &json, JobReply &reply);
void to_json(nlohmann::json &json, const DocumentChanges &changes);
void from_json(const nlohmann::json &json, DocumentChanges &changes);
} // namespace control

namespace codec {

// Returns the result of `f`, which reads from JSON. Fails with MalformedMessage if `f`
// throws because a key is missing or has the wrong type.
template <typename F>
auto decode(F f) -> Result<decltype(f())>
{
    try {
        return f();
    } catch (const Json::exception &) {
        return fail(ErrorKind::MalformedMessage, "a key is missing or has the wrong type");
    }
}

} // namespace codec

} // namespace monsoonspool
