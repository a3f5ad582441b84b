#include "execution/waitingcounter.h"

#include "execution/rowlayout.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

namespace {

// By this measure, which starts with the call that read the jobs, the counts of a healthy leader
// are up to 2.9 s old. The platform expects a job to be counted 5 s after it was accepted; the rest
// is for the way of the leader's row to this host.
constexpr Duration MaxCountAge = 3200ms;
// Requests share a reading of the store for this time.
constexpr Duration ReadingValidity = 1s;
constexpr Duration RetryInterval = 200ms;
// Limits what one reading costs. A page has up to 500 rows or 1 MB.
constexpr int MaxPages = 4;

} // namespace

struct WaitingCounter::Private : std::enable_shared_from_this<WaitingCounter::Private>
{
    struct Request
    {
        std::uint64_t number = 0;
        std::string queue;
        ports::Handler<int> reply;
    };

    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, DecisionLog &decisionLog,
            Hooks h)
        : store(changeStore), scheduler(s), codec(rowCodec), log(decisionLog), hooks(std::move(h))
    {
    }

    void add(std::string queue, TimePoint deadline, const ports::Handler<int> &reply)
    {
        const auto number = ++lastRequest;
        requests.push_back({number, std::move(queue), reply});
        scheduler.runAfter(deadline - scheduler.now(), [self = shared_from_this(), number] {
            self->failIf([number](const Request &it) { return it.number == number; },
                         {ErrorKind::StoreUnavailable, "no reply from the store before the deadline"});
        });
        if (!isReading) {
            isReading = true;
            begin();
        }
    }

    void begin()
    {
        if (endIfAnswered(hooks.leaderCounts())) {
            return;
        }
        // The row is small. Its own feed may be what is silent.
        store.scan(LeaderTable, {}, LeaderKey, std::string(LeaderKey) + '\0',
                   [self = shared_from_this()](const ports::AsyncResult<ports::RowPage> &result) {
                       if (!result.isOk()) {
                           self->onFailure(result.failure());
                           return;
                       }
                       self->hooks.onLeaderRows(result.value().rows);
                       self->beginJobs();
                   });
    }

    void beginJobs()
    {
        auto counts = hooks.leaderCounts();
        if (endIfAnswered(counts)) {
            return;
        }
        addedJobs.clear();
        pageCount = 0;
        const auto version = counts.version;
        read(std::move(counts), version, scheduler.now());
    }

    // Ends the reading if nobody waits for it, or the leader's counts are recent again.
    bool endIfAnswered(const membership::WaitingCounts &counts)
    {
        if (!requests.empty() && counts.age > MaxCountAge) {
            return false;
        }
        isReading = false;
        answer(counts);
        return true;
    }

    // Reads the jobs accepted after `version`. A change feed that may return at once reads them
    // from all parts in one call.
    void read(membership::WaitingCounts counts, std::uint64_t version, TimePoint beganAt)
    {
        store.changes(JobsTable, version, Duration(0),
                      [self = shared_from_this(), counts = std::move(counts),
                       beganAt](const ports::AsyncResult<ports::RowPage> &result) {
                          if (result.isOk()) {
                              self->onPage(counts, result.value(), beganAt);
                          } else {
                              self->onFailure(result.failure());
                          }
                      });
    }

    void onPage(const membership::WaitingCounts &counts, const ports::RowPage &page, TimePoint beganAt)
    {
        for (const auto &it : page.rows) {
            onRow(it);
        }
        if (page.isTruncated && ++pageCount < MaxPages) {
            read(counts, page.version, beganAt);
            return;
        }
        isReading = false;
        if (page.isTruncated) {
            failIf([](const Request &) { return true; },
                   {ErrorKind::StoreUnavailable, "too many jobs since the leader's last count"});
            return;
        }
        readCounts = counts;
        for (const auto &[key, queue] : addedJobs) {
            if (const auto count = counts.find(queue)) {
                readCounts.byQueue.try_emplace(queue, *count).first->second += 1;
            }
        }
        readAt = beganAt;
        log.record("waiting-jobs-read", {{"leaderAgeMs", toMilliseconds(counts.age)}, {"addedJobs", addedJobs.size()}});
        answer(readCounts);
    }

    void onRow(const ports::StoredRow &row)
    {
        const auto key = jobOfKey(row.name.key);
        if (!key) {
            return;
        }
        if (row.isRemoved || isCancelKey(row.name.key)) {
            addedJobs.erase(*key); // the job is over
            return;
        }
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(job, codec.decodeJob(row.value));
                addedJobs[*key] = std::move(job.policy.queue);
                return {};
            },
            [&](const Failure &failure) {
                log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
            });
    }

    void onFailure(const Failure &failure)
    {
        if (failure.kind == ErrorKind::StoreHistoryDropped) {
            log.record("waiting-jobs-unknown", {{"detail", failure.detail}});
            isReading = false;
            failIf([](const Request &) { return true; }, {ErrorKind::StoreUnavailable, failure.detail});
            return;
        }
        scheduler.runAfter(RetryInterval, [self = shared_from_this()] { self->begin(); });
    }

    void answer(const membership::WaitingCounts &counts)
    {
        for (const auto &it : std::exchange(requests, {})) {
            it.reply(countOf(counts, it.queue));
        }
    }

    template <typename F>
    void failIf(F predicate, const Failure &failure)
    {
        std::vector<Request> failed;
        std::vector<Request> others;
        for (auto &it : requests) {
            (predicate(it) ? failed : others).push_back(std::move(it));
        }
        requests = std::move(others);
        for (const auto &it : failed) {
            it.reply(failure);
        }
    }

    static ports::AsyncResult<int> countOf(const membership::WaitingCounts &counts, const std::string &queue)
    {
        if (const auto count = counts.find(queue)) {
            return *count;
        }
        return Failure{ErrorKind::StoreUnavailable, "jobs wait in more queues than the leader's row can name"};
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    DecisionLog &log;
    Hooks hooks;
    std::vector<Request> requests;
    std::uint64_t lastRequest = 0;
    bool isReading = false;
    std::map<jobs::JobKey, std::string> addedJobs; // with their queues
    int pageCount = 0;
    membership::WaitingCounts readCounts;
    std::optional<TimePoint> readAt; // when the last complete reading began
};

WaitingCounter::WaitingCounter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                               DecisionLog &log, Hooks hooks)
    : d(std::make_shared<Private>(store, scheduler, codec, log, std::move(hooks)))
{
}

WaitingCounter::~WaitingCounter()
{
    d->requests.clear();
    d->hooks = {[] { return membership::WaitingCounts(); }, [](auto) {}};
}

void WaitingCounter::count(std::string queue, TimePoint deadline, const ports::Handler<int> &reply)
{
    const auto counts = d->hooks.leaderCounts();
    const auto now = d->scheduler.now();
    if (counts.age <= MaxCountAge) {
        reply(Private::countOf(counts, queue));
    } else if (d->readAt && now - *d->readAt <= ReadingValidity) {
        reply(Private::countOf(d->readCounts, queue));
    } else {
        d->add(std::move(queue), deadline, reply);
    }
}

} // namespace monsoonspool::execution
