#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <utility>

// Error kinds and their properties.
//
// Every failure in the system has exactly one ErrorKind. The kind alone determines
// the HTTP status, the value of the Monsoonspool-Outcome header, whether a guest may
// safely retry the request, and the exit status of the command-line tool.
// No other code may determine any of these.
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

// What is known about the execution of a request.
enum class Outcome {
    Answered, // the target's complete response follows
    NotRun, // no target received any part of the request
    Unknown, // a target may have run the request
};

// Properties of an error kind.
struct ErrorInfo
{
    ErrorKind kind;
    std::string_view name; // stable, for programs
    int httpStatus;
    Outcome outcome;
    bool isRetrySafe; // a guest may safely retry the request
    int exitStatus; // of the command-line tool and the daemon
    std::string_view meaning; // one line for operators
};

// Returns the properties of `kind`.
const ErrorInfo &errorInfo(ErrorKind kind);

// Returns the kind with the name `name`, or Internal if there is none.
ErrorKind errorKindFromName(std::string_view name);

// Returns the properties of all kinds, in the order of ErrorKind.
std::span<const ErrorInfo> errorTable();

// Returns "answered", "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

// An error with details for the person who has to fix it.
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Returns an error with `kind` and `detail`, which handleFailure() receives.
boost::leaf::error_id fail(ErrorKind kind, std::string detail);

// Returns the result of `f`, or of `onFailure(Failure)` if `f` fails.
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
