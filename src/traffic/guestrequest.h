#pragma once

#include "common/error.h"
#include "common/time.h"
#include "control/trafficsnapshot.h"
#include "documents/documentset.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::traffic {

// Header fields of guests' requests and of the responses to them.
constexpr std::string_view DeadlineField = "Monsoonspool-Deadline-Ms";
constexpr std::string_view UrgencyField = "Monsoonspool-Urgency";
constexpr std::string_view IdempotencyKeyField = "Idempotency-Key";
constexpr std::string_view OutcomeField = "Monsoonspool-Outcome";
constexpr std::string_view ErrorField = "Monsoonspool-Error";
constexpr std::string_view RetryAfterField = "Monsoonspool-Retry-After-Ms";

// The parts of a request's header that determine its service and scheduling.
struct RequestHeaderView
{
    std::string_view method;
    std::string_view target;
    std::string_view host;
    std::string_view deadline; // empty if the field is absent
    std::string_view urgency;
    std::string_view idempotencyKey;
    bool hasIdempotencyKey = false;
};

// A classified request.
struct GuestRequest
{
    std::shared_ptr<const documents::DocumentRevision> service;
    const documents::UrgencyClass *urgency = nullptr; // points into `service`
    std::string target; // request target sent to the back end
    TimePoint deadline;
    std::string recordKey; // empty if the request is not recorded
};

// Limits of the fields that guests set.
constexpr long long MaxDeadlineMs = 600'000;
constexpr std::size_t MaxIdempotencyKey = 255;

// Determines the service, urgency class, deadline and record key of a request. The
// service is found by the path prefix /services/NAME, which is removed from the target
// sent to the back end, or else by the Host field.
// Fails with UnknownService, InvalidDeadline, InvalidUrgency or
// InvalidIdempotencyKey.
Result<GuestRequest> classify(const RequestHeaderView &header, const control::TrafficSnapshot &snapshot, TimePoint now);

// Returns a hash of a request with an idempotency key. It distinguishes a repetition
// from a different request that reuses the key.
std::string requestFingerprint(std::string_view method, std::string_view target, std::string_view body);

} // namespace monsoonspool::traffic
