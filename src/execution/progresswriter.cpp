#include "execution/progresswriter.h"

#include "execution/rowlayout.h"
#include "jobs/names.h"

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

namespace monsoonspool::execution {

namespace {

// Batches run ends that arrive together into one commit.
constexpr Duration BatchDelay = 10ms;
constexpr Duration FirstRetry = 150ms;
constexpr Duration MaxRetry = 1s;
// Each section needs a condition and a write, and the owner row a condition.
constexpr std::size_t SectionsPerCommit = 40;
static_assert(SectionsPerCommit * 2 + 1 <= ports::MaxCommitEntries);

} // namespace

struct ProgressWriter::Private : std::enable_shared_from_this<ProgressWriter::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, Fleet &f,
            DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), codec(rowCodec), fleet(f), log(decisionLog)
    {
    }

    // Sections that are stored by one commit.
    struct Batch
    {
        std::vector<jobs::ProgressSection> sections;
        std::unordered_map<jobs::JobKey, jobs::JobState> states; // of the jobs whose section 0 is among them
        std::size_t valueBytes = 0;
        ports::Commit commit;
    };

    void schedule(Duration delay)
    {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        scheduler.runAfter(delay, [self = shared_from_this()] {
            self->isScheduled = false;
            if (!self->isClosed) {
                self->begin();
            }
        });
    }

    void begin()
    {
        if (pendingCommits > 0) {
            return;
        }
        const auto sections = fleet.consumeChangedSections();
        cursors = fleet.endCursors();
        hasFailed = false;
        if (sections.empty()) {
            fleet.acknowledge(cursors);
            return;
        }
        Batch batch;
        for (const auto &it : sections) {
            const auto *job = fleet.find(it.job);
            if (job == nullptr) {
                continue;
            }
            auto value = codec.encode(job->progress(it.number));
            if (value.size() > store.maxValueSize()) {
                auto progress = job->progress(it.number);
                progress.dropOptionalParts();
                value = codec.encode(progress);
            }
            if (value.size() > store.maxValueSize()) {
                log.record("progress-too-large", {{"job", it.job}, {"section", it.number}, {"bytes", value.size()}});
                fleet.abandonJob(it.job, scheduler.now());
                value = codec.encode(job->progress(it.number));
            }
            if (batch.sections.size() == SectionsPerCommit
                || batch.valueBytes + value.size() > ports::MaxCommitValueBytes) {
                commit(std::exchange(batch, {}));
            }
            add(batch, it, job->state(), std::move(value));
        }
        commit(std::move(batch));
    }

    void add(Batch &batch, const jobs::ProgressSection &section, jobs::JobState state, std::string value)
    {
        batch.sections.push_back(section);
        if (section.number == 0) {
            batch.states[section.job] = state;
        }
        batch.valueBytes += value.size();
        const auto name = progressRow(section);
        batch.commit.conditions.push_back({name, versions[section]});
        batch.commit.writes.push_back({name, std::move(value)});
    }

    void commit(Batch batch)
    {
        if (batch.sections.empty()) {
            return;
        }
        auto commit = std::move(batch.commit);
        commit.conditions.push_back({progressOwnerRow(commit.writes.front().name.part), claimVersion});
        ++pendingCommits;
        store.commit(std::move(commit),
                     [self = shared_from_this(), sections = std::move(batch.sections),
                      states = std::move(batch.states)](const ports::AsyncResult<ports::CommitResult> &result) {
                         --self->pendingCommits;
                         if (!self->isClosed) {
                             self->onCommitted(sections, states, result);
                         }
                     });
    }

    void onCommitted(std::span<const jobs::ProgressSection> sections,
                     const std::unordered_map<jobs::JobKey, jobs::JobState> &states,
                     const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (result.isOk() && result.value().isApplied) {
            onStored(sections, states, result.value().version);
        } else {
            hasFailed = true;
            for (const auto &it : sections) {
                fleet.markChanged(it);
            }
            if (result.isOk() && hasSuccessor(result.value().current)) {
                log.record("progress-fenced", {{"fence", fleet.fence().value}, {"sections", sections.size()}});
                onFenced();
                return;
            }
            if (result.isOk()) {
                applyCurrentRows(result.value().current);
            } else {
                log.record("progress-unstored",
                           {{"error", errorInfo(result.failure().kind).name},
                            {"detail", result.failure().detail},
                            {"sections", sections.size()}});
            }
        }
        if (pendingCommits > 0) {
            return;
        }
        if (hasFailed) {
            const bool isConflict = result.isOk();
            schedule(isConflict ? BatchDelay : retryPause);
            retryPause = isConflict ? FirstRetry : std::min(retryPause * 2, MaxRetry);
            return;
        }
        retryPause = FirstRetry;
        fleet.acknowledge(cursors);
        schedule(BatchDelay);
    }

    void onStored(std::span<const jobs::ProgressSection> sections,
                  const std::unordered_map<jobs::JobKey, jobs::JobState> &states, std::uint64_t version)
    {
        log.record("progress-stored",
                   {{"fence", fleet.fence().value}, {"version", version}, {"sections", sections.size()}});
        for (const auto &it : sections) {
            versions[it] = version;
        }
        for (const auto &[key, state] : states) {
            if (jobs::isFinal(state)) {
                fleet.markStored(key);
            }
        }
    }

    // Returns whether the rows that caused a conflict show a later claim.
    bool hasSuccessor(std::span<const ports::StoredRow> rows) const
    {
        return std::ranges::any_of(rows, [&](const ports::StoredRow &it) {
            return it.name.key == ProgressOwnerKey && (it.isRemoved || it.version != claimVersion);
        });
    }

    // Applies the rows that caused a conflict. They were written by a cancellation, a
    // former leader of an earlier release, or a commit of this writer whose reply was lost.
    void applyCurrentRows(std::span<const ports::StoredRow> rows)
    {
        for (const auto &row : rows) {
            const auto section = progressSectionOfKey(row.name.key);
            if (!section) {
                continue;
            }
            versions[*section] = row.isRemoved ? 0 : row.version;
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(progress, codec.decodeProgress(row.value));
                    fleet.applyForeignProgress(section->job, progress, row.version);
                    return {};
                },
                [&](const Failure &failure) {
                    log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
                });
        }
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    Fleet &fleet;
    DecisionLog &log;
    std::uint64_t claimVersion = 0;
    std::function<void()> onFenced;
    std::map<jobs::ProgressSection, std::uint64_t> versions;
    std::vector<EndCursor> cursors; // of the current round
    int pendingCommits = 0;
    bool hasFailed = false;
    bool isScheduled = false;
    bool isClosed = false;
    Duration retryPause = FirstRetry;
};

ProgressWriter::ProgressWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                               Fleet &fleet, DecisionLog &log, std::uint64_t claimVersion,
                               std::function<void()> onFenced)
    : d(std::make_shared<Private>(store, scheduler, codec, fleet, log))
{
    d->claimVersion = claimVersion;
    d->onFenced = std::move(onFenced);
}

ProgressWriter::~ProgressWriter()
{
    d->isClosed = true;
}

void ProgressWriter::recordVersion(const jobs::ProgressSection &section, std::uint64_t version)
{
    auto &known = d->versions[section];
    known = std::max(known, version);
}

std::vector<std::pair<int, std::uint64_t>> ProgressWriter::takeVersions(jobs::JobKey key)
{
    const auto first = d->versions.lower_bound({key, 0});
    const auto last = d->versions.upper_bound({key, std::numeric_limits<int>::max()});
    std::vector<std::pair<int, std::uint64_t>> versions;
    for (auto it = first; it != last; ++it) {
        versions.emplace_back(it->first.number, it->second);
    }
    d->versions.erase(first, last);
    return versions;
}

void ProgressWriter::requestWrite()
{
    if (d->pendingCommits == 0) {
        d->schedule(BatchDelay);
    }
}

} // namespace monsoonspool::execution
