#include "execution/tablewatcher.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// Backoff after a failed call; doubles up to the maximum.
constexpr Duration FirstRetry = 100ms;
constexpr Duration MaxRetry = 800ms;

} // namespace

struct TableWatcher::Private : std::enable_shared_from_this<TableWatcher::Private>
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
        restartedAt = scheduler.now();
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
        if (hooks.onSnapshotPage) {
            hooks.onSnapshotPage(page.rows);
            if (isClosed) {
                return;
            }
        } else {
            rows.insert(rows.end(), page.rows.begin(), page.rows.end());
        }
        if (page.isTruncated && !page.rows.empty()) {
            // The smallest key after the last one read.
            scan(page.rows.back().name.key + '\0');
            return;
        }
        if (++partIndex < parts.size()) {
            scan({});
            return;
        }
        logRecovery();
        const auto snapshot = std::move(rows);
        rows.clear();
        hooks.onSnapshot(snapshot);
        if (!isClosed) {
            noteCaughtUp(restartedAt);
            watch();
        }
    }

    void watch()
    {
        const auto sentAt = scheduler.now();
        store.changes(table, version, wait,
                      [self = shared_from_this(), sentAt](const ports::AsyncResult<ports::RowPage> &result) {
                          if (self->isClosed) {
                              return;
                          }
                          if (!result.isOk()) {
                              const bool isDropped = result.failure().kind == ErrorKind::StoreHistoryDropped;
                              self->retry(result.failure(), [isDropped](Private &it) {
                                  if (isDropped) {
                                      it.restart();
                                  } else {
                                      it.watch();
                                  }
                              });
                              return;
                          }
                          self->retryPause = FirstRetry;
                          self->logRecovery();
                          self->hooks.onContact(Duration(0));
                          self->version = std::max(self->version, result.value().version);
                          if (!result.value().rows.empty()) {
                              self->hooks.onChanges(result.value().rows);
                          }
                          if (!self->isClosed) {
                              if (!result.value().isTruncated) {
                                  self->noteCaughtUp(sentAt);
                              }
                              self->watch();
                          }
                      });
    }

    // The store's answer contains all rows stored before the call was sent.
    void noteCaughtUp(TimePoint time)
    {
        if (hooks.onCaughtUp) {
            hooks.onCaughtUp(time, version);
        }
    }

    template <typename F>
    void retry(const Failure &failure, F again)
    {
        if (!isStoreLost) {
            isStoreLost = true;
            log.record("store-lost",
                       {{"table", table}, {"error", errorInfo(failure.kind).name}, {"detail", failure.detail}});
        }
        scheduler.runAfter(retryPause, [self = shared_from_this(), again] {
            if (!self->isClosed) {
                again(*self);
            }
        });
        retryPause = std::min(retryPause * 2, MaxRetry);
    }

    void logRecovery()
    {
        if (isStoreLost) {
            isStoreLost = false;
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
    TimePoint restartedAt;
    std::uint64_t version = 0;
    Duration retryPause = FirstRetry;
    bool isStoreLost = false;
    bool isClosed = false;
};

TableWatcher::TableWatcher(ports::ChangeStore &store, ports::Scheduler &scheduler, DecisionLog &log, std::string table,
                           std::vector<std::string> parts, Duration wait, Hooks hooks)
    : d(std::make_shared<Private>(store, scheduler, log))
{
    d->table = std::move(table);
    d->parts = std::move(parts);
    d->wait = wait;
    d->hooks = std::move(hooks);
    d->restart();
}

TableWatcher::~TableWatcher()
{
    d->isClosed = true;
}

} // namespace monsoonspool::execution
