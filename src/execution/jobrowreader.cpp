#include "execution/jobrowreader.h"

#include "execution/rowlayout.h"

#include <utility>

namespace monsoonspool::execution {

namespace {

// Pause before a reading that has failed is reported, and may be begun again.
constexpr Duration FailurePause = 200ms;

} // namespace

struct JobRowReader::Private : std::enable_shared_from_this<JobRowReader::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, jobs::JobKey jobKey,
            std::function<void(const std::optional<JobRows> &)> handler)
        : store(changeStore), scheduler(s), key(jobKey), done(std::move(handler))
    {
    }

    void readJob()
    {
        const auto row = jobRow(key);
        store.scan(row.table, row.part, row.key, row.key + '\0',
                   [self = shared_from_this()](const ports::AsyncResult<ports::RowPage> &result) {
                       self->handle(result, [&](const ports::RowPage &page) {
                           if (!page.rows.empty()) {
                               self->rows.job = page.rows.front();
                           }
                           self->readProgress(progressRow(self->key).key);
                       });
                   });
    }

    void readProgress(const std::string &from)
    {
        const auto row = progressRow(key);
        store.scan(row.table, row.part, from, row.key + static_cast<char>(SectionSeparator + 1),
                   [self = shared_from_this()](const ports::AsyncResult<ports::RowPage> &result) {
                       self->handle(result, [&](const ports::RowPage &page) {
                           self->rows.progress.insert(self->rows.progress.end(), page.rows.begin(), page.rows.end());
                           if (page.isTruncated && !page.rows.empty()) {
                               self->readProgress(page.rows.back().name.key + '\0');
                           } else {
                               self->done(self->rows);
                           }
                       });
                   });
    }

    template <typename F>
    void handle(const ports::AsyncResult<ports::RowPage> &result, F onPage)
    {
        if (isClosed) {
            return;
        }
        if (result.isOk()) {
            onPage(result.value());
            return;
        }
        scheduler.runAfter(FailurePause, [self = shared_from_this()] {
            if (!self->isClosed) {
                self->done(std::nullopt);
            }
        });
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    jobs::JobKey key;
    std::function<void(const std::optional<JobRows> &)> done;
    JobRows rows;
    bool isClosed = false;
};

JobRowReader::JobRowReader(ports::ChangeStore &store, ports::Scheduler &scheduler, jobs::JobKey key,
                           std::function<void(const std::optional<JobRows> &)> done)
    : d(std::make_shared<Private>(store, scheduler, key, std::move(done)))
{
    d->readJob();
}

JobRowReader::~JobRowReader()
{
    d->isClosed = true;
}

} // namespace monsoonspool::execution
