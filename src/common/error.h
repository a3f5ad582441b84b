#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <utility>

// The closed list of error kinds and the one table from kind to answer.
//
// Every failure in the system has exactly one ErrorKind. The kind alone
// decides the HTTP status, the value of the Monsoonspool-Outcome header,
// whether a guest may safely send the request again, and the exit status of
// the command-line tool. No other place decides any of these.
namespace monsoonspool {

enum class ErrorKind {
    MalformedRequest,
    HeadersTooLarge,
    BodyTooLarge,
    SlowSender,
    InvalidDeadline,
    InvalidUrgency,
    InvalidIdempotencyKey,
    UnknownService,
    UnknownResource,
    Unauthorized,
    QueueFull,
    DeadlineUnreachable,
    RetryBudgetSpent,
    NoTarget,
    ShuttingDown,
    TargetUnreachable,
    TargetFailed,
    AnswerTruncated,
    DeadlineExceeded,
    OutcomeUnrecorded,
    IdempotencyKeyReused,
    StoreUnavailable,
    StoreReplyLost,
    StoreConflict,
    StoreHistoryDropped,
    InvalidDocument,
    DocumentConflict,
    DocumentImpossible,
    InvalidJob,
    QuotaExceeded,
    StaleEpoch,
    Superseded,
    CapacityExceeded,
    MalformedMessage,
    InvalidSettings,
    InvalidArguments,
    AddressInUse,
    DaemonUnreachable,
    Internal,
};

// What is known of a request's execution.
enum class Outcome {
    Answered, // the whole answer of the target follows
    NotRun, // no target received any part of the request
    Unknown, // a target may have run the request
};

// One row of the table from kind to answer.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name; // stable, for machines
    int httpStatus;
    Outcome outcome;
    bool isRetrySafe; // a guest may send the same request again
    int exitStatus; // of the command-line tool and the daemon
    std::string_view meaning; // one line for people
};

// Returns the row of `kind`.
const ErrorAnswer &answerFor(ErrorKind kind);

// Returns the kind called `name`, Internal for an unknown name.
ErrorKind errorKindFromName(std::string_view name);

// Returns the whole table, in the order of ErrorKind.
std::span<const ErrorAnswer> errorTable();

// Returns "answered", "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

// A failure with what a person needs to mend it.
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Returns an error that carries `kind` and `detail` to the nearest handler.
boost::leaf::error_id fail(ErrorKind kind, std::string detail);

// Returns what `f` returns, or what `onFailure(Failure)` makes of its error.
template <typename F, typename H>
auto handleFailure(F &&f, H &&onFailure)
{
    return boost::leaf::try_handle_all(
        std::forward<F>(f), [&](const Failure &failure) { return onFailure(failure); },
        [&] {
            return onFailure(Failure{ErrorKind::Internal, "unexpected error"});
        });
}

} // namespace monsoonspool
