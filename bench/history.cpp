#include "bench/history.h"

#include <map>
#include <set>

namespace monsoonspool::bench {

namespace {

using Kind = HistoryEvent::Kind;

std::string requestName(GuestRequestId id)
{
    return "request " + std::to_string(id);
}

std::string timeText(TimePoint at)
{
    return " at " + std::to_string(at.time_since_epoch().count()) + " us";
}

void append(std::vector<InvariantViolation> &all, std::vector<InvariantViolation> more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

} // namespace

std::vector<InvariantViolation> checkSlots(std::span<const HistoryEvent> history, const HistoryRules &rules)
{
    std::vector<InvariantViolation> violations;
    std::unordered_map<TargetId, int> open;
    for (const auto &it : history) {
        if (it.kind == Kind::Ended) {
            --open[it.target];
        }
        if (it.kind != Kind::Started) {
            continue;
        }
        const auto slots = rules.slots.find(it.target);
        if (++open[it.target] > (slots == rules.slots.end() ? 0 : slots->second)) {
            violations.push_back(
                {"slots", it.target.text() + " runs " + std::to_string(open[it.target]) + timeText(it.at)});
        }
    }
    return violations;
}

std::vector<InvariantViolation> checkAtMostOnce(std::span<const HistoryEvent> history)
{
    std::vector<InvariantViolation> violations;
    std::set<GuestRequestId> idempotent;
    std::set<GuestRequestId> started;
    for (const auto &it : history) {
        if (it.kind == Kind::Arrived && it.isIdempotent) {
            idempotent.insert(it.request);
        }
        if (it.kind == Kind::Started && !started.insert(it.request).second && !idempotent.contains(it.request)) {
            violations.push_back({"at-most-once", requestName(it.request) + " started again" + timeText(it.at)});
        }
    }
    return violations;
}

std::vector<InvariantViolation> checkOwnAnswer(std::span<const HistoryEvent> history)
{
    std::vector<InvariantViolation> violations;
    std::set<GuestRequestId> done;
    for (const auto &it : history) {
        if (it.kind != Kind::Answered && it.kind != Kind::Refused) {
            continue;
        }
        if (!done.insert(it.request).second) {
            violations.push_back({"own-answer", requestName(it.request) + " got a second answer" + timeText(it.at)});
        }
        if (it.kind == Kind::Answered && it.answerOf != it.request) {
            violations.push_back(
                {"own-answer", requestName(it.request) + " got the answer of " + requestName(it.answerOf)});
        }
    }
    return violations;
}

std::vector<InvariantViolation> checkNotRun(std::span<const HistoryEvent> history)
{
    std::vector<InvariantViolation> violations;
    std::set<GuestRequestId> started;
    for (const auto &it : history) {
        if (it.kind == Kind::Started) {
            started.insert(it.request);
        }
    }
    for (const auto &it : history) {
        if (it.kind == Kind::Refused && it.outcome == Outcome::NotRun && started.contains(it.request)) {
            violations.push_back({"not-run", requestName(it.request) + " was refused as not run, but ran"});
        }
    }
    return violations;
}

std::vector<InvariantViolation> checkLeaving(std::span<const HistoryEvent> history, const HistoryRules &rules)
{
    std::vector<InvariantViolation> violations;
    std::unordered_map<TargetId, TimePoint> leaving;
    for (const auto &it : history) {
        if (it.kind == Kind::Leaving) {
            leaving.try_emplace(it.target, it.at);
        }
        const auto since = leaving.find(it.target);
        if (it.kind == Kind::Started && since != leaving.end() && it.at > since->second + rules.leavingGracePeriod) {
            violations.push_back(
                {"leaving", it.target.text() + " was sent " + requestName(it.request) + timeText(it.at)});
        }
    }
    return violations;
}

std::vector<InvariantViolation> checkNothingLost(std::span<const HistoryEvent> history, TimePoint settledAt)
{
    std::vector<InvariantViolation> violations;
    std::map<GuestRequestId, TimePoint> open;
    for (const auto &it : history) {
        if (it.kind == Kind::Arrived) {
            open.emplace(it.request, it.at);
        } else if (it.kind == Kind::Answered || it.kind == Kind::Refused) {
            open.erase(it.request);
        }
    }
    for (const auto &[id, at] : open) {
        if (at < settledAt) {
            violations.push_back({"nothing-lost", requestName(id) + " has no answer; it arrived" + timeText(at)});
        }
    }
    return violations;
}

std::vector<InvariantViolation> checkAll(std::span<const HistoryEvent> history, const HistoryRules &rules,
                                         TimePoint settledAt)
{
    std::vector<InvariantViolation> violations;
    append(violations, checkSlots(history, rules));
    append(violations, checkAtMostOnce(history));
    append(violations, checkOwnAnswer(history));
    append(violations, checkNotRun(history));
    append(violations, checkLeaving(history, rules));
    append(violations, checkNothingLost(history, settledAt));
    return violations;
}

} // namespace monsoonspool::bench
