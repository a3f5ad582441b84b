#include "execution/tablefollower.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// After a failed call, before the next; doubles up to the maximum.
constexpr Duration FirstRetry = 100ms;
constexpr Duration MaxRetry = 800ms;

} // namespace

struct TableFollower::Private : std::enable_shared_from_this<TableFollower::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), log(decisionLog)
    {
    }

    void restart()
    {
        rows.clear();
        partIndex = 0;
        version = 0;
        scan({});
    }

    void scan(const std::string &first)
    {
        const auto sentAt = scheduler.now();
        store.scan(table, parts[partIndex], first, {},
                   [self = shared_from_this(), sentAt](const ports::AsyncResult<ports::RowPage> &result) {
                       if (self->isClosed) {
                           return;
                       }
                       if (!result.isOk()) {
                           self->retry(result.failure(), [](Private &it) { it.restart(); });
                           return;
                       }
                       self->hooks.onContact(self->scheduler.now() - sentAt);
                       self->onPage(result.value());
                   });
    }

    void onPage(const ports::RowPage &page)
    {
        retryPause = FirstRetry;
        version = version == 0 ? page.version : std::min(version, page.version);
        rows.insert(rows.end(), page.rows.begin(), page.rows.end());
        if (page.isTruncated && !page.rows.empty()) {
            // The least key behind the last one read.
            scan(page.rows.back().name.key + '\0');
            return;
        }
        if (++partIndex < parts.size()) {
            scan({});
            return;
        }
        noteRegained();
        const auto whole = std::move(rows);
        rows.clear();
        hooks.onSnapshot(whole);
        if (!isClosed) {
            follow();
        }
    }

    void follow()
    {
        store.changes(table, version, wait,
                      [self = shared_from_this()](const ports::AsyncResult<ports::RowPage> &result) {
                          if (self->isClosed) {
                              return;
                          }
                          if (!result.isOk()) {
                              const bool isDropped = result.failure().kind == ErrorKind::StoreHistoryDropped;
                              self->retry(result.failure(), [isDropped](Private &it) {
                                  if (isDropped) {
                                      it.restart();
                                  } else {
                                      it.follow();
                                  }
                              });
                              return;
                          }
                          self->retryPause = FirstRetry;
                          self->noteRegained();
                          self->hooks.onContact(Duration(0));
                          self->version = std::max(self->version, result.value().version);
                          if (!result.value().rows.empty()) {
                              self->hooks.onChanges(result.value().rows);
                          }
                          if (!self->isClosed) {
                              self->follow();
                          }
                      });
    }

    template <typename F>
    void retry(const Failure &failure, F again)
    {
        if (!isLost) {
            isLost = true;
            log.record("store-lost",
                       {{"table", table}, {"error", answerFor(failure.kind).name}, {"detail", failure.detail}});
        }
        scheduler.runAfter(retryPause, [self = shared_from_this(), again] {
            if (!self->isClosed) {
                again(*self);
            }
        });
        retryPause = std::min(retryPause * 2, MaxRetry);
    }

    void noteRegained()
    {
        if (isLost) {
            isLost = false;
            log.record("store-regained", {{"table", table}, {"version", version}});
        }
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    DecisionLog &log;
    std::string table;
    std::vector<std::string> parts;
    Duration wait{0};
    Hooks hooks;
    std::vector<ports::StoredRow> rows;
    std::size_t partIndex = 0;
    std::uint64_t version = 0;
    Duration retryPause = FirstRetry;
    bool isLost = false;
    bool isClosed = false;
};

TableFollower::TableFollower(ports::ChangeStore &store, ports::Scheduler &scheduler, DecisionLog &log,
                             std::string table, std::vector<std::string> parts, Duration wait, Hooks hooks)
    : d(std::make_shared<Private>(store, scheduler, log))
{
    d->table = std::move(table);
    d->parts = std::move(parts);
    d->wait = wait;
    d->hooks = std::move(hooks);
    d->restart();
}

TableFollower::~TableFollower()
{
    d->isClosed = true;
}

} // namespace monsoonspool::execution
