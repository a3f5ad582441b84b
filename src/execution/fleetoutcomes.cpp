// Accounts of Fleet: which jobs were done in time, by queue and size.
#include "execution/fleetstate.h"

#include <algorithm>
#include <tuple>

namespace monsoonspool::execution {

namespace {

// Lines of one report, so that their number doesn't grow with that of the queues.
constexpr std::size_t MaxReportedRows = 12;

} // namespace

bool isCountedByOutcome(const jobs::JobSpec &spec)
{
    return !spec.isTimed() && !spec.isLasting();
}

int ordersNeeded(const jobs::JobSpec &spec)
{
    int orders = 0;
    for (const auto &it : spec.steps) {
        orders += it.count;
    }
    return orders;
}

void Fleet::Private::noteOutcome(TrackedJob &job, TimePoint now)
{
    const auto &spec = job.job.spec();
    if (!isCountedByOutcome(spec)) {
        return;
    }
    auto outcome = jobs::JobOutcome::Failed;
    if (job.job.state() == jobs::JobState::Cancelled) {
        outcome = jobs::JobOutcome::Cancelled;
    } else if (job.job.state() == jobs::JobState::Completed) {
        refreshExpectedRunTimes(job, now);
        const auto limits = deadlinesOf(job, job.job.acceptedAt());
        outcome = now <= limits.soft ? jobs::JobOutcome::OnTime
            : now <= limits.hard     ? jobs::JobOutcome::Late
                                     : jobs::JobOutcome::TooLate;
    }
    counts.outcomes.noteEnded(job.job.queue(), ordersNeeded(spec), outcome);
}

std::map<std::pair<std::string, std::size_t>, Fleet::Private::OpenJobs> Fleet::Private::openJobsBySize(TimePoint now)
{
    std::map<std::pair<std::string, std::size_t>, OpenJobs> open;
    for (auto &[key, it] : jobsByKey) {
        const auto &spec = it->job.spec();
        if (!it->job.isOpen() || !isCountedByOutcome(spec)) {
            continue;
        }
        auto &row = open[{it->job.queue(), jobs::sizeClassOf(ordersNeeded(spec))}];
        refreshExpectedRunTimes(*it, now);
        const auto limits = deadlinesOf(*it, it->job.acceptedAt());
        row.unstarted += it->job.isWaiting() ? 1 : 0;
        row.late += now > limits.soft ? 1 : 0;
        row.tooLate += now > limits.hard ? 1 : 0;
        row.oldest = std::max(row.oldest, now - it->job.acceptedAt());
    }
    return open;
}

void Fleet::Private::reportOutcomes(TimePoint now)
{
    if (now < outcomeReportDueAt) {
        return;
    }
    outcomeReportDueAt = now + OutcomeReportInterval;
    const auto open = openJobsBySize(now);
    auto rows = counts.outcomes.rows();
    const auto openOf = [&](const jobs::OutcomeRow &row) {
        const auto it = open.find({row.queue, row.sizeClass});
        return it == open.end() ? OpenJobs() : it->second;
    };
    // Those with the most late jobs, if there are more than may be reported.
    std::ranges::sort(rows, [&](const jobs::OutcomeRow &a, const jobs::OutcomeRow &b) {
        return std::tuple(openOf(b).late, a.queue, a.sizeClass) < std::tuple(openOf(a).late, b.queue, b.sizeClass);
    });
    rows.resize(std::min(rows.size(), MaxReportedRows));
    std::ranges::sort(rows, {}, [](const jobs::OutcomeRow &it) { return std::tie(it.queue, it.sizeClass); });
    for (const auto &it : rows) {
        const auto openJobs = openOf(it);
        const auto ended = [&](jobs::JobOutcome outcome) { return it.ended[static_cast<std::size_t>(outcome)]; };
        log.record("jobs-by-size",
                   {{"queue", it.queue},
                    {"orders", jobs::sizeClassName(it.sizeClass)},
                    {"accepted", it.accepted},
                    {"onTime", ended(jobs::JobOutcome::OnTime)},
                    {"late", ended(jobs::JobOutcome::Late)},
                    {"tooLate", ended(jobs::JobOutcome::TooLate)},
                    {"failed", ended(jobs::JobOutcome::Failed)},
                    {"cancelled", ended(jobs::JobOutcome::Cancelled)},
                    {"open", it.open()},
                    {"openUnstarted", openJobs.unstarted},
                    {"openLate", openJobs.late},
                    {"openTooLate", openJobs.tooLate},
                    {"oldestMs", toMilliseconds(openJobs.oldest)}});
    }
}

} // namespace monsoonspool::execution
