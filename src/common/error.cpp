#include "common/error.h"

#include <array>

namespace monsoonspool {

namespace {

// Exit statuses of the command-line tool and the daemon; scripts depend on them.
constexpr int ExitUsage = 2;
constexpr int ExitRefused = 3;
constexpr int ExitConflict = 4;
constexpr int ExitUnavailable = 5;
constexpr int ExitUnknown = 6;
constexpr int ExitInternal = 70;

using enum ErrorKind;
using enum Outcome;

constexpr std::array Table{
    ErrorInfo{MalformedRequest, "malformed-request", 400, NotRun, false, ExitUsage, "the request is not valid HTTP"},
    ErrorInfo{HeadersTooLarge, "headers-too-large", 431, NotRun, false, ExitUsage,
              "the header fields exceed the limit"},
    ErrorInfo{BodyTooLarge, "body-too-large", 413, NotRun, false, ExitUsage, "the body exceeds the limit"},
    ErrorInfo{SlowSender, "slow-sender", 408, NotRun, true, ExitUnavailable, "the request did not arrive in time"},
    ErrorInfo{InvalidDeadline, "invalid-deadline", 400, NotRun, false, ExitUsage,
              "the deadline is not in the accepted range"},
    ErrorInfo{InvalidUrgency, "invalid-urgency", 400, NotRun, false, ExitUsage,
              "the service has no such urgency class"},
    ErrorInfo{InvalidIdempotencyKey, "invalid-idempotency-key", 400, NotRun, false, ExitUsage,
              "the key is empty, too long or not printable"},
    ErrorInfo{UnknownService, "unknown-service", 404, NotRun, false, ExitUsage, "no document names this service"},
    ErrorInfo{UnknownResource, "unknown-resource", 404, NotRun, false, ExitUsage, "there is no such resource"},
    ErrorInfo{Unauthorized, "unauthorized", 401, NotRun, false, ExitRefused, "the key is missing or wrong"},
    ErrorInfo{QueueFull, "queue-full", 503, NotRun, true, ExitUnavailable, "the queue of the urgency class is full"},
    ErrorInfo{DeadlineUnreachable, "deadline-unreachable", 503, NotRun, true, ExitUnavailable,
              "the deadline cannot be met"},
    ErrorInfo{RetryBudgetSpent, "retry-budget-spent", 503, NotRun, true, ExitUnavailable,
              "the retry budget of the pool is used up; too many of its requests fail"},
    ErrorInfo{NoTarget, "no-target", 503, NotRun, true, ExitUnavailable, "the service has no target that accepts work"},
    ErrorInfo{ShuttingDown, "shutting-down", 503, NotRun, true, ExitUnavailable, "this entry host is shutting down"},
    ErrorInfo{TargetUnreachable, "target-unreachable", 502, NotRun, true, ExitUnavailable,
              "no connection to a target could be opened"},
    ErrorInfo{TargetFailed, "target-failed", 502, Unknown, false, ExitUnknown, "the target failed before it answered"},
    ErrorInfo{AnswerTruncated, "answer-truncated", 502, Unknown, false, ExitUnknown, "the target's answer ended early"},
    ErrorInfo{DeadlineExceeded, "deadline-exceeded", 504, Unknown, false, ExitUnknown,
              "the target did not answer before the deadline"},
    ErrorInfo{OutcomeUnrecorded, "outcome-unrecorded", 409, Unknown, false, ExitUnknown,
              "an earlier request with this key may have run"},
    ErrorInfo{IdempotencyKeyReused, "idempotency-key-reused", 422, NotRun, false, ExitConflict,
              "the key belongs to a different request"},
    ErrorInfo{StoreUnavailable, "store-unavailable", 503, NotRun, true, ExitUnavailable,
              "the table service is unavailable; nothing was changed"},
    ErrorInfo{StoreReplyLost, "store-reply-lost", 503, Unknown, false, ExitUnknown,
              "the table service may have applied the change"},
    ErrorInfo{StoreConflict, "store-conflict", 409, NotRun, true, ExitConflict, "another writer changed the row first"},
    ErrorInfo{StoreHistoryDropped, "store-history-dropped", 503, NotRun, true, ExitUnavailable,
              "the store no longer has the requested changes; read the full table"},
    ErrorInfo{InvalidDocument, "invalid-document", 422, NotRun, false, ExitUsage,
              "the document is not valid; nothing was applied"},
    ErrorInfo{DocumentConflict, "document-conflict", 409, NotRun, false, ExitConflict,
              "the document has a newer revision; nothing was applied"},
    ErrorInfo{DocumentImpossible, "document-impossible", 409, NotRun, false, ExitConflict,
              "the document conflicts with other documents; nothing was applied"},
    ErrorInfo{InvalidJob, "invalid-job", 422, NotRun, false, ExitUsage, "the job is not valid; nothing was submitted"},
    ErrorInfo{QuotaExceeded, "quota-exceeded", 429, NotRun, true, ExitRefused, "the team's quota is used up"},
    ErrorInfo{StaleEpoch, "stale-epoch", 409, NotRun, false, ExitConflict, "the order has the epoch of a former owner"},
    ErrorInfo{Superseded, "superseded", 409, NotRun, true, ExitConflict, "a later message replaced this one"},
    ErrorInfo{CapacityExceeded, "capacity-exceeded", 409, NotRun, true, ExitRefused,
              "the host lacks the capacity for the work"},
    ErrorInfo{MalformedMessage, "malformed-message", 400, NotRun, false, ExitUsage, "the message cannot be decoded"},
    ErrorInfo{InvalidSettings, "invalid-settings", 422, NotRun, false, ExitUsage, "the settings are not valid"},
    ErrorInfo{InvalidArguments, "invalid-arguments", 400, NotRun, false, ExitUsage, "the arguments are not valid"},
    ErrorInfo{AddressInUse, "address-in-use", 503, NotRun, false, ExitUnavailable,
              "another process listens on the address"},
    ErrorInfo{DaemonUnreachable, "daemon-unreachable", 502, NotRun, true, ExitUnavailable,
              "no daemon answers at the address"},
    ErrorInfo{Internal, "internal", 500, Unknown, false, ExitInternal, "an internal error of monsoonspool"},
};

static_assert(Table.size() == static_cast<std::size_t>(Internal) + 1, "Table must have one row per ErrorKind");

constexpr bool isInOrder()
{
    for (std::size_t n = 0; n < Table.size(); ++n) {
        if (static_cast<std::size_t>(Table[n].kind) != n) {
            return false;
        }
    }
    return true;
}

static_assert(isInOrder(), "Table must be in the order of ErrorKind");

} // namespace

const ErrorInfo &errorInfo(ErrorKind kind)
{
    return Table[static_cast<std::size_t>(kind)];
}

ErrorKind errorKindFromName(std::string_view name)
{
    for (const auto &row : Table) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return Internal;
}

std::span<const ErrorInfo> errorTable()
{
    return Table;
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Answered:
        return "answered";
    case NotRun:
        return "not-run";
    case Unknown:
        break;
    }
    return "unknown";
}

boost::leaf::error_id fail(ErrorKind kind, std::string detail)
{
    return boost::leaf::new_error(Failure{kind, std::move(detail)});
}

} // namespace monsoonspool
