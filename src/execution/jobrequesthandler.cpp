#include "execution/jobrequesthandler.h"

#include "execution/rowlayout.h"
#include "jobs/names.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace monsoonspool::execution {

namespace {

// Backoff between attempts when the store refused or did not answer a call.
constexpr Duration FirstRetry = 40ms;
constexpr Duration MaxRetry = 320ms;
// After the store has refused a submission for this long, the client is told to try
// another host.
constexpr Duration RefusalTimeout = 700ms;

struct StoredProgress
{
    std::uint64_t version = 0;
    jobs::JobProgress progress;
};

JobStatus statusOf(const jobs::JobProgress &progress)
{
    return progress.isAccepted ? JobStatus{true, progress.state} : JobStatus{};
}

} // namespace

struct JobRequestHandler::Private : std::enable_shared_from_this<JobRequestHandler::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), codec(rowCodec), log(decisionLog)
    {
    }

    // A submission and the state of its attempts.
    struct Submission
    {
        jobs::JobKey key;
        ports::Commit commit;
        TimePoint startedAt;
        TimePoint deadline;
        Duration pause = FirstRetry;
        bool maybeStored = false;
        bool isAnswered = false;
        std::function<void(SubmitResult)> reply;
    };
    using SubmissionPointer = std::shared_ptr<Submission>;

    void trySubmit(const SubmissionPointer &submission)
    {
        store.commit(submission->commit,
                     [self = shared_from_this(), submission](const ports::AsyncResult<ports::CommitResult> &result) {
                         if (!submission->isAnswered) {
                             self->onSubmitted(submission, result);
                         }
                     });
    }

    void onSubmitted(const SubmissionPointer &submission, const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (result.isOk() && result.value().isApplied) {
            finish(*submission, SubmitResult::Accepted, "stored");
            return;
        }
        if (result.isOk()) {
            // The rows exist: they were written by an earlier attempt or by an earlier request of the
            // client to this or another host, or the job was cancelled before.
            if (const auto isAccepted = isAcceptedBy(result.value().current)) {
                finish(*submission, *isAccepted ? SubmitResult::Accepted : SubmitResult::Cancelled,
                       *isAccepted ? "already stored" : "cancelled before it was accepted");
                return;
            }
        }
        const auto kind = result.isOk() ? ErrorKind::StoreConflict : result.failure().kind;
        const bool isUnknown = kind == ErrorKind::StoreReplyLost || kind == ErrorKind::StoreConflict;
        submission->maybeStored = submission->maybeStored || isUnknown;
        const auto now = scheduler.now();
        const bool isRefusedTooLong = !submission->maybeStored && now - submission->startedAt > RefusalTimeout;
        if (isRefusedTooLong || now + submission->pause >= submission->deadline) {
            finish(*submission, submission->maybeStored ? SubmitResult::Unknown : SubmitResult::NotAccepted,
                   errorInfo(kind).name);
            return;
        }
        scheduler.runAfter(submission->pause, [self = shared_from_this(), submission] { self->trySubmit(submission); });
        submission->pause = std::min(submission->pause * 2, MaxRetry);
    }

    // Returns whether the rows that caused a conflict show an accepted job, or one that was cancelled
    // before it was accepted; nullopt if they cannot be read.
    std::optional<bool> isAcceptedBy(std::span<const ports::StoredRow> rows) const
    {
        for (const auto &row : rows) {
            const auto isAccepted = handleFailure(
                [&]() -> Result<std::optional<bool>> {
                    BOOST_LEAF_AUTO(progress, codec.decodeProgress(row.value));
                    return std::optional(progress.isAccepted);
                },
                [&](const Failure &failure) {
                    log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
                    return std::optional<bool>();
                });
            if (isAccepted) {
                return isAccepted;
            }
        }
        return std::nullopt;
    }

    void finish(Submission &submission, SubmitResult answer, std::string_view why)
    {
        submission.isAnswered = true;
        constexpr std::string_view names[] = {"accepted", "not accepted", "invalid", "cancelled", "unknown"};
        log.record("job-submitted",
                   {{"job", submission.key},
                    {"answer", names[static_cast<std::size_t>(answer)]},
                    {"why", why},
                    {"tookMs", toMilliseconds(scheduler.now() - submission.startedAt)}});
        submission.reply(answer);
    }

    bool isStoreUnreachable() const
    {
        return scheduler.now() - lastContactAt > StoreContactTimeout;
    }

    // Returns a handler that forwards only the first result, or a failure at `deadline`.
    ports::Handler<JobStatus> withDeadline(TimePoint deadline, ports::Handler<JobStatus> reply)
    {
        const auto isAnswered = std::make_shared<bool>(false);
        ports::Handler<JobStatus> once = [isAnswered, reply = std::move(reply)](const auto &result) {
            if (!std::exchange(*isAnswered, true)) {
                reply(result);
            }
        };
        scheduler.runAfter(deadline - scheduler.now(), [once] {
            once(Failure{ErrorKind::StoreUnavailable, "no reply from the store before the deadline"});
        });
        return once;
    }

    using ProgressHandler = ports::Handler<std::optional<StoredProgress>>;

    void readProgress(jobs::JobKey key, TimePoint deadline, Duration pause, const ProgressHandler &handler)
    {
        const auto row = progressRow(key);
        store.scan(row.table, row.part, row.key, row.key + '\0',
                   [self = shared_from_this(), key, deadline, pause,
                    handler](const ports::AsyncResult<ports::RowPage> &result) {
                       if (result.isOk()) {
                           handler(self->decode(result.value()));
                           return;
                       }
                       if (self->scheduler.now() + pause >= deadline) {
                           handler(result.failure());
                           return;
                       }
                       self->scheduler.runAfter(pause, [self, key, deadline, pause, handler] {
                           self->readProgress(key, deadline, std::min(pause * 2, MaxRetry), handler);
                       });
                   });
    }

    ports::AsyncResult<std::optional<StoredProgress>> decode(const ports::RowPage &page)
    {
        if (page.rows.empty()) {
            return std::optional<StoredProgress>();
        }
        return handleFailure(
            [&]() -> Result<ports::AsyncResult<std::optional<StoredProgress>>> {
                BOOST_LEAF_AUTO(progress, codec.decodeProgress(page.rows.front().value));
                return ports::AsyncResult<std::optional<StoredProgress>>(
                    StoredProgress{page.rows.front().version, std::move(progress)});
            },
            [&](const Failure &failure) {
                log.record("row-unreadable", {{"key", page.rows.front().name.key}, {"detail", failure.detail}});
                return ports::AsyncResult<std::optional<StoredProgress>>(failure);
            });
    }

    void tryCancel(jobs::JobKey key, TimePoint deadline, const ports::Handler<JobStatus> &reply)
    {
        readProgress(key, deadline, FirstRetry,
                     [self = shared_from_this(), key, deadline,
                      reply](const ports::AsyncResult<std::optional<StoredProgress>> &result) {
                         if (!result.isOk()) {
                             reply(result.failure());
                         } else if (!result.value()) {
                             // A submission may still be under way at any host. The row keeps it from
                             // being accepted after the client was told that there is no such job.
                             StoredProgress absent;
                             absent.progress.isAccepted = false;
                             self->writeCancel(key, std::move(absent), deadline, reply);
                         } else if (jobs::isFinal(result.value()->progress.state)) {
                             reply(statusOf(result.value()->progress));
                         } else {
                             self->writeCancel(key, *result.value(), deadline, reply);
                         }
                     });
    }

    void writeCancel(jobs::JobKey key, StoredProgress stored, TimePoint deadline,
                     const ports::Handler<JobStatus> &reply)
    {
        stored.progress.state = jobs::JobState::Cancelled;
        ports::Commit commit;
        commit.conditions.push_back({progressRow(key), stored.version});
        commit.writes.push_back({progressRow(key), codec.encode(stored.progress)});
        if (stored.progress.isAccepted) {
            commit.writes.push_back({cancelRow(key), {}});
        }
        const auto status = statusOf(stored.progress);
        store.commit(
            std::move(commit),
            [self = shared_from_this(), key, status, deadline,
             reply](const ports::AsyncResult<ports::CommitResult> &result) {
                if (result.isOk() && result.value().isApplied) {
                    self->log.record("job-cancelled", {{"job", key}, {"isAccepted", status.isKnown ? 1 : 0}});
                    reply(status);
                    return;
                }
                // Another host wrote the row concurrently, or the outcome is unknown: read again.
                if (self->scheduler.now() + FirstRetry >= deadline) {
                    reply(result.isOk() ? Failure{ErrorKind::StoreConflict, jobs::jobName(key)} : result.failure());
                    return;
                }
                self->scheduler.runAfter(result.isOk() ? Duration(0) : FirstRetry,
                                         [self, key, deadline, reply] { self->tryCancel(key, deadline, reply); });
            });
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    DecisionLog &log;
    TimePoint lastContactAt;
    Epoch fence; // of the leader row as last read
};

JobRequestHandler::JobRequestHandler(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                                     DecisionLog &log)
    : d(std::make_shared<Private>(store, scheduler, codec, log))
{
}

JobRequestHandler::~JobRequestHandler() = default;

void JobRequestHandler::recordContact(TimePoint now)
{
    d->lastContactAt = now;
}

void JobRequestHandler::recordFence(Epoch fence)
{
    d->fence = fence;
}

void JobRequestHandler::submit(AcceptedJob job, TimePoint deadline, std::function<void(SubmitResult)> reply)
{
    auto submission = std::make_shared<Private::Submission>();
    job.knownFence = d->fence;
    submission->key = job.key;
    submission->commit.conditions.push_back({progressRow(job.key), 0});
    auto value = d->codec.encode(job);
    const bool isTooLarge = value.size() > d->store.maxValueSize();
    submission->commit.writes.push_back({jobRow(job.key), std::move(value)});
    submission->commit.writes.push_back({progressRow(job.key), d->codec.encode(jobs::JobProgress())});
    submission->startedAt = d->scheduler.now();
    submission->deadline = deadline;
    submission->reply = std::move(reply);
    if (isTooLarge) {
        d->finish(*submission, SubmitResult::Invalid, "larger than a row of the store");
        return;
    }
    if (d->isStoreUnreachable()) {
        d->finish(*submission, SubmitResult::NotAccepted, "store unreachable");
        return;
    }
    d->scheduler.runAfter(deadline - submission->startedAt, [self = d, submission] {
        if (!submission->isAnswered) {
            self->finish(*submission, SubmitResult::Unknown, "no reply from the store before the deadline");
        }
    });
    d->trySubmit(submission);
}

void JobRequestHandler::status(jobs::JobKey key, TimePoint deadline, ports::Handler<JobStatus> reply)
{
    if (d->isStoreUnreachable()) {
        reply(Failure{ErrorKind::StoreUnavailable, "the store is silent"});
        return;
    }
    d->readProgress(key, deadline, FirstRetry,
                    [once = d->withDeadline(deadline, std::move(reply))](
                        const ports::AsyncResult<std::optional<StoredProgress>> &result) {
                        if (!result.isOk()) {
                            once(result.failure());
                        } else if (!result.value()) {
                            once(JobStatus{});
                        } else {
                            once(statusOf(result.value()->progress));
                        }
                    });
}

void JobRequestHandler::cancel(jobs::JobKey key, TimePoint deadline, ports::Handler<JobStatus> reply)
{
    if (d->isStoreUnreachable()) {
        reply(Failure{ErrorKind::StoreUnavailable, "the store is silent"});
        return;
    }
    d->tryCancel(key, deadline, d->withDeadline(deadline, std::move(reply)));
}

} // namespace monsoonspool::execution
