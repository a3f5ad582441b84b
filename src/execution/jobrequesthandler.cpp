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
// Time between two log lines about cancellations that the bounds do not allow.
constexpr Duration RefusalReportInterval = 1s;

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
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, DecisionLog &decisionLog,
            std::function<jobs::WallTime()> wallClock)
        : store(changeStore), scheduler(s), codec(rowCodec), log(decisionLog), wallNow(std::move(wallClock))
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

    // A client that got no answer sends its job again, which may have been accepted before.
    void refuseUnlessStored(const SubmissionPointer &submission)
    {
        readProgress(
            submission->key, submission->deadline, FirstRetry,
            [self = shared_from_this(), submission](const ports::AsyncResult<std::optional<StoredProgress>> &result) {
                if (submission->isAnswered) {
                    return;
                }
                if (!result.isOk()) {
                    self->finish(*submission, SubmitResult::Unknown, errorInfo(result.failure().kind).name);
                } else if (result.value()) {
                    const bool isAccepted = result.value()->progress.isAccepted;
                    self->finish(*submission, isAccepted ? SubmitResult::Accepted : SubmitResult::Cancelled,
                                 isAccepted ? "already stored" : "cancelled before it was accepted");
                } else {
                    ++self->refusedByFullQueue;
                    self->finish(*submission, SubmitResult::Full, "the queue is full");
                }
            });
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
        constexpr std::string_view names[] = {"accepted", "not accepted", "full", "invalid", "cancelled", "unknown"};
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

    // A cancellation and the state of its attempts.
    struct Cancellation
    {
        jobs::JobKey key;
        TimePoint deadline;
        std::optional<std::uint64_t> firstVersion; // of the row as first read; 0 if there was none
        bool isCounted = false; // by the limiter
        ports::Handler<JobStatus> reply;
    };
    using CancellationPointer = std::shared_ptr<Cancellation>;

    void tryCancel(const CancellationPointer &cancellation)
    {
        readProgress(
            cancellation->key, cancellation->deadline, FirstRetry,
            [self = shared_from_this(), cancellation](const ports::AsyncResult<std::optional<StoredProgress>> &result) {
                if (result.isOk()) {
                    self->onProgressRead(cancellation, result.value());
                } else {
                    cancellation->reply(result.failure());
                }
            });
    }

    void onProgressRead(const CancellationPointer &cancellation, const std::optional<StoredProgress> &stored)
    {
        const auto version = stored ? stored->version : 0;
        const auto firstVersion = cancellation->firstVersion.value_or(version);
        cancellation->firstVersion = firstVersion;
        if (stored && stored->progress.isAccepted) {
            if (jobs::isFinal(stored->progress.state)) {
                cancellation->reply(statusOf(stored->progress));
            } else {
                writeCancel(cancellation, *stored);
            }
        } else if (stored && version != firstVersion) {
            cancellation->reply(JobStatus{}); // the tombstone was written since this request was read
        } else {
            writeTombstone(cancellation, version);
        }
    }

    // A submission may still be under way at any host, and must not be accepted after the client was
    // told that there is no such job. An existing tombstone is written again, since it may be about to be
    // removed.
    void writeTombstone(const CancellationPointer &cancellation, std::uint64_t version)
    {
        if (!cancellation->isCounted && !limiter.take(scheduler.now())) {
            reportRefusal();
            cancellation->reply(Failure{ErrorKind::StoreUnavailable, "too many cancellations of unknown jobs"});
            return;
        }
        cancellation->isCounted = true;
        StoredProgress tombstone{version, {}};
        tombstone.progress.isAccepted = false;
        tombstone.progress.cancelledAt = wallNow();
        writeCancel(cancellation, std::move(tombstone));
    }

    void reportRefusal()
    {
        const auto now = scheduler.now();
        if (now < refusalReportDueAt) {
            return;
        }
        refusalReportDueAt = now + RefusalReportInterval;
        const auto &counts = limiter.counts();
        log.record("cancellation-refused",
                   {{"refusedByRate", counts.refusedByRate}, {"refusedByTotal", counts.refusedByTotal}});
    }

    void writeCancel(const CancellationPointer &cancellation, StoredProgress stored)
    {
        const auto key = cancellation->key;
        stored.progress.state = jobs::JobState::Cancelled;
        ports::Commit commit;
        commit.conditions.push_back({progressRow(key), stored.version});
        commit.writes.push_back({progressRow(key), codec.encode(stored.progress)});
        commit.writes.push_back({stored.progress.isAccepted ? cancelRow(key) : tombstoneRow(key), {}});
        const auto status = statusOf(stored.progress);
        store.commit(
            std::move(commit),
            [self = shared_from_this(), cancellation, status](const ports::AsyncResult<ports::CommitResult> &result) {
                self->onCancelWritten(cancellation, status, result);
            });
    }

    void onCancelWritten(const CancellationPointer &cancellation, const JobStatus &status,
                         const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (result.isOk() && result.value().isApplied) {
            log.record("job-cancelled", {{"job", cancellation->key}, {"isAccepted", status.isKnown ? 1 : 0}});
            if (!status.isKnown) {
                limiter.noteWritten();
            }
            cancellation->reply(status);
            return;
        }
        if (result.isOk() && !status.isKnown) {
            limiter.giveBack();
            cancellation->isCounted = false;
        }
        // Another host wrote the row concurrently, or the outcome is unknown: read again.
        if (scheduler.now() + FirstRetry >= cancellation->deadline) {
            cancellation->reply(result.isOk() ? Failure{ErrorKind::StoreConflict, jobs::jobName(cancellation->key)}
                                              : result.failure());
            return;
        }
        scheduler.runAfter(result.isOk() ? Duration(0) : FirstRetry,
                           [self = shared_from_this(), cancellation] { self->tryCancel(cancellation); });
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    DecisionLog &log;
    std::function<jobs::WallTime()> wallNow;
    TombstoneLimiter limiter;
    TimePoint refusalReportDueAt;
    TimePoint lastContactAt;
    Epoch fence; // of the leader row as last read
    std::vector<std::string> fullQueues; // likewise
    std::uint64_t refusedByFullQueue = 0;
};

JobRequestHandler::JobRequestHandler(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                                     DecisionLog &log, std::function<jobs::WallTime()> wallNow)
    : d(std::make_shared<Private>(store, scheduler, codec, log, std::move(wallNow)))
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

void JobRequestHandler::recordTombstones(std::size_t count)
{
    d->limiter.recordStored(count);
}

void JobRequestHandler::recordFullQueues(std::span<const std::string> queues)
{
    if (!std::ranges::equal(queues, d->fullQueues)) {
        d->fullQueues.assign(queues.begin(), queues.end());
        d->log.record("full-queues", {{"queues", queues.size()}, {"firstQueue", queues.empty() ? "" : queues.front()}});
    }
}

std::uint64_t JobRequestHandler::refusedByFullQueue() const
{
    return d->refusedByFullQueue;
}

const TombstoneRequestCounts &JobRequestHandler::tombstoneCounts() const
{
    return d->limiter.counts();
}

void JobRequestHandler::submit(AcceptedJob job, TimePoint deadline, std::function<void(SubmitResult)> reply)
{
    auto submission = std::make_shared<Private::Submission>();
    job.knownFence = d->fence;
    const auto queue = job.policy.queue;
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
    if (std::ranges::find(d->fullQueues, queue) != d->fullQueues.end()) {
        d->refuseUnlessStored(submission);
        return;
    }
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
    auto cancellation = std::make_shared<Private::Cancellation>();
    cancellation->key = key;
    cancellation->deadline = deadline;
    cancellation->reply = d->withDeadline(deadline, std::move(reply));
    d->tryCancel(cancellation);
}

} // namespace monsoonspool::execution
