#include "execution/interferencepersister.h"

#include "execution/rowlayout.h"

namespace monsoonspool::execution {

namespace {

// The model changes over about ten seconds, and its row holds a few KB.
constexpr Duration WriteInterval = 5s;
// Delay before a failed read of the row is repeated.
constexpr Duration RetryPause = 500ms;

} // namespace

struct InterferencePersister::Private : std::enable_shared_from_this<InterferencePersister::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, Fleet &f,
            DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), codec(rowCodec), fleet(f), log(decisionLog)
    {
    }

    void read()
    {
        store.scan(LearnedTable, {}, {}, {},
                   [self = shared_from_this()](const ports::AsyncResult<ports::RowPage> &result) {
                       if (self->isClosed) {
                           return;
                       }
                       if (result.isOk()) {
                           self->restore(result.value().rows);
                           return;
                       }
                       self->scheduler.runAfter(RetryPause, [self] {
                           if (!self->isClosed) {
                               self->read();
                           }
                       });
                   });
    }

    void restore(std::span<const ports::StoredRow> rows)
    {
        isRead = true;
        for (const auto &row : rows) {
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(learned, codec.decodeLearned(row.value));
                    fleet.restoreInterference(learned);
                    log.record("interference-restored", {{"servingImages", learned.size()}});
                    return {};
                },
                [&](const Failure &failure) {
                    log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
                });
        }
    }

    void write(TimePoint now)
    {
        writtenAt = now;
        const auto learned = fleet.learnedInterference();
        if (learned.empty()) {
            return;
        }
        ports::Commit commit;
        commit.writes.push_back({learnedRow(), codec.encode(learned)});
        store.commit(std::move(commit),
                     [self = shared_from_this()](const ports::AsyncResult<ports::CommitResult> &result) {
                         if (!result.isOk()) {
                             self->log.record("learned-unstored", {{"error", errorInfo(result.failure().kind).name}});
                         }
                     });
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    Fleet &fleet;
    DecisionLog &log;
    TimePoint writtenAt;
    bool isRead = false; // until then a write could replace the former leader's model by an empty one
    bool isClosed = false;
};

InterferencePersister::InterferencePersister(ports::ChangeStore &store, ports::Scheduler &scheduler,
                                             const RowCodec &codec, Fleet &fleet, DecisionLog &log)
    : d(std::make_shared<Private>(store, scheduler, codec, fleet, log))
{
    d->writtenAt = scheduler.now();
    d->read();
}

InterferencePersister::~InterferencePersister()
{
    d->isClosed = true;
}

void InterferencePersister::writeIfDue(TimePoint now)
{
    if (d->isRead && now - d->writtenAt >= WriteInterval) {
        d->write(now);
    }
}

} // namespace monsoonspool::execution
