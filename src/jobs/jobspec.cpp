#include "jobs/jobspec.h"

#include <algorithm>

namespace monsoonspool::jobs {

int JobSpec::dueCount(WallTime now) const
{
    if (!isTimed()) {
        return 1;
    }
    if (firstDue > now) {
        return 0;
    }
    return interval.count() == 0
        ? occurrences
        : static_cast<int>(std::min<std::int64_t>((now - firstDue) / interval + 1, occurrences));
}

bool JobSpec::isLasting() const
{
    return std::ranges::any_of(steps, [](const StepSpec &it) { return it.isLasting; });
}

void normalizeAfter(std::vector<int> &after)
{
    std::ranges::sort(after);
    after.erase(std::unique(after.begin(), after.end()), after.end());
    after.shrink_to_fit();
}

namespace {

Result<void> validateStep(const StepSpec &step, int position)
{
    const auto where = "step " + std::to_string(position) + ": ";
    if (step.count < 1 || step.count > MaxTasksPerStep) {
        return fail(ErrorKind::InvalidJob, where + "count must be 1 to " + std::to_string(MaxTasksPerStep));
    }
    const auto &needs = step.needs;
    if (needs.milliCores < 0 || needs.memoryMiB < 0 || needs.accelerators < 0 || step.estimate < Duration::zero()) {
        return fail(ErrorKind::InvalidJob, where + "sizes must not be negative");
    }
    const bool isOrdered = std::ranges::all_of(step.after, [&](int it) { return it >= 0 && it < position; });
    if (!isOrdered) {
        return fail(ErrorKind::InvalidJob, where + "may only follow earlier steps");
    }
    if (step.maxPerWorker < 0 || step.maxUnavailable < 0) {
        return fail(ErrorKind::InvalidJob, where + "limits must not be negative");
    }
    return {};
}

} // namespace

Result<void> validate(const JobSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > MaxSteps) {
        return fail(ErrorKind::InvalidJob, "a job has 1 to " + std::to_string(MaxSteps) + " steps");
    }
    if (spec.occurrences < 0 || spec.occurrences > MaxOccurrences || spec.interval.count() < 0) {
        return fail(ErrorKind::InvalidJob, "a job runs at most " + std::to_string(MaxOccurrences) + " times");
    }
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        BOOST_LEAF_CHECK(validateStep(spec.steps[n], static_cast<int>(n)));
    }
    return {};
}

} // namespace monsoonspool::jobs
