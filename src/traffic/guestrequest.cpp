#include "traffic/guestrequest.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace monsoonspool::traffic {

namespace {

using DocumentPointer = std::shared_ptr<const documents::DocumentRevision>;

constexpr std::string_view ServicePathPrefix = "/services/";

// Returns the value of a Host field without the port.
std::string_view hostName(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

Result<DocumentPointer> findService(const RequestHeaderView &header, const control::TrafficSnapshot &snapshot,
                                    std::string &target)
{
    target = std::string(header.target);
    if (header.target.starts_with(ServicePathPrefix)) {
        const auto rest = header.target.substr(ServicePathPrefix.size());
        const auto slash = rest.find('/');
        const auto name = rest.substr(0, slash);
        const auto it = snapshot.byService.find(std::string(name));
        if (it == snapshot.byService.end()) {
            return fail(ErrorKind::UnknownService, "unknown service '" + std::string(name) + "'");
        }
        target = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
        return it->second;
    }
    const auto it = snapshot.byHostName.find(std::string(hostName(header.host)));
    if (it == snapshot.byHostName.end()) {
        return fail(ErrorKind::UnknownService,
                    "no service has the host name '" + std::string(hostName(header.host)) + "'");
    }
    return it->second;
}

Result<Duration> parseDeadline(std::string_view text)
{
    long long n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size() || n < 1 || n > MaxDeadlineMs) {
        return fail(ErrorKind::InvalidDeadline,
                    std::string(DeadlineField) + " must be an integer from 1 to " + std::to_string(MaxDeadlineMs));
    }
    return Duration(std::chrono::milliseconds(n));
}

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

Result<GuestRequest> classify(const RequestHeaderView &header, const control::TrafficSnapshot &snapshot, TimePoint now)
{
    GuestRequest request;
    BOOST_LEAF_ASSIGN(request.service, findService(header, snapshot, request.target));
    const auto &document = request.service->document;
    request.urgency = document.findClass(header.urgency);
    if (!request.urgency) {
        return fail(ErrorKind::InvalidUrgency,
                    "service '" + document.service.text() + "' has no urgency class '" + std::string(header.urgency)
                        + "'");
    }
    request.deadline = now + request.urgency->deadline;
    if (!header.deadline.empty()) {
        BOOST_LEAF_AUTO(deadline, parseDeadline(header.deadline));
        request.deadline = now + deadline;
    }
    if (!header.hasIdempotencyKey) {
        return request;
    }
    const auto key = header.idempotencyKey;
    if (key.empty() || key.size() > MaxIdempotencyKey || !isPrintable(key)) {
        return fail(ErrorKind::InvalidIdempotencyKey,
                    std::string(IdempotencyKeyField) + " must have 1 to " + std::to_string(MaxIdempotencyKey)
                        + " printable characters");
    }
    // Records cost writes to the store, so only requests that are not idempotent are
    // recorded.
    if (!document.isIdempotent) {
        request.recordKey = document.service.text() + "/" + std::string(key);
    }
    return request;
}

std::string requestFingerprint(std::string_view method, std::string_view target, std::string_view body)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const auto part : {method, std::string_view("\n"), target, std::string_view("\n"), body}) {
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const auto hash = XXH3_128bits_digest(state.get());
    char text[33];
    std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text;
}

} // namespace monsoonspool::traffic
