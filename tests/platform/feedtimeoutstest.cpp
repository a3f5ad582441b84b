// Timeouts of long polls on a link that many hosts share.
#include "feedtimeouts.h"
#include "execution/tablewatcher.h"
#include "membership/evacuations.h"
#include "ports/virtualscheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::platform {

namespace {

constexpr std::size_t MaxOwnValueSize = 65536;
constexpr std::string_view Table = "op";
constexpr Duration Wait = 1s;
// A configuration has to be applied within this time.
constexpr Duration ApplyBound = 4s;

// A start is not ordered if less is left (Fleet).
constexpr Duration StartValidity = 300ms;

// Of 2,828 routes; base64 adds a third.
constexpr std::size_t LargeValueSize = 400 * 1024;
constexpr std::size_t FormerLargeValueSize = 200 * 1024;

class NullLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

// Carries the answers of a store to the hosts of another region, one after another. What was sent
// takes up the link also if the receiver has given up.
class SharedLink
{
public:
    explicit SharedLink(ports::VirtualScheduler &scheduler) : m_scheduler(scheduler)
    {
    }

    // Returns in how long the first byte arrives.
    Duration send(std::size_t bytes)
    {
        const auto now = m_scheduler.now();
        const auto begin = std::max(now, m_busyUntil);
        m_busyUntil = begin + std::chrono::microseconds(bytes * 1000000 / BytesPerSecond);
        m_bytes += bytes;
        return begin - now + Delay;
    }
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    static constexpr std::size_t BytesPerSecond = 150'000'000 / 8;
    static constexpr Duration Delay = 12ms;

    ports::VirtualScheduler &m_scheduler;
    TimePoint m_busyUntil;
    std::size_t m_bytes = 0;
};

// A table of one row, as a host in the other region reads it.
class RemoteStore : public ports::ChangeStore
{
public:
    RemoteStore(ports::VirtualScheduler &scheduler, SharedLink &link, const ports::StoredRow &row)
        : m_scheduler(scheduler), m_link(link), m_row(row), m_timeouts(MaxOwnValueSize)
    {
    }

    std::size_t maxValueSize() const override
    {
        return MaxOwnValueSize;
    }
    void commit(ports::Commit, ports::Handler<ports::CommitResult>) override
    {
    }
    void scan(std::string_view, std::string_view, std::string_view, std::string_view,
              ports::Handler<ports::RowPage> handler) override
    {
        const ports::RowPage page{{m_row}, false, m_row.version};
        m_scheduler.runAfter(1ms, [handler = std::move(handler), page] { handler(page); });
    }
    void changes(std::string_view table, std::uint64_t after, Duration wait,
                 ports::Handler<ports::RowPage> handler) override
    {
        const auto number = ++m_lastPoll;
        m_poll = Poll{number, after, std::move(handler)};
        m_scheduler.runAfter(m_timeouts.timeout(table, wait), [this, number] {
            if (m_poll && m_poll->number == number) {
                ++m_givenUp;
                finish(Failure{ErrorKind::StoreReplyLost, "timed out"});
            }
        });
        m_scheduler.runAfter(wait, [this, number] {
            if (m_poll && m_poll->number == number && !m_poll->isAnswered) {
                answer({{}, false, m_poll->after});
            }
        });
        notify();
    }

    // Answers the poll if the row has changed.
    void notify()
    {
        if (m_poll && !m_poll->isAnswered && m_row.version > m_poll->after) {
            answer({{m_row}, false, m_row.version});
        }
    }
    int givenUp() const
    {
        return m_givenUp;
    }

private:
    struct Poll
    {
        int number = 0;
        std::uint64_t after = 0;
        ports::Handler<ports::RowPage> handler;
        bool isAnswered = false;
    };

    void answer(const ports::RowPage &page)
    {
        m_poll->isAnswered = true;
        const auto bytes = page.rows.empty() ? std::size_t{100} : page.rows.front().value.size() * 4 / 3;
        m_scheduler.runAfter(m_link.send(bytes), [this, number = m_poll->number, page] {
            if (m_poll && m_poll->number == number) {
                m_timeouts.noteAnswer(Table, page);
                finish(page);
            }
        });
    }
    void finish(const ports::AsyncResult<ports::RowPage> &result)
    {
        const auto handler = std::move(m_poll->handler);
        m_poll.reset();
        handler(result);
    }

    ports::VirtualScheduler &m_scheduler;
    SharedLink &m_link;
    const ports::StoredRow &m_row;
    FeedTimeouts m_timeouts;
    std::optional<Poll> m_poll;
    int m_lastPoll = 0;
    int m_givenUp = 0;
};

// The hosts of a region that follow a row of the store, which is in another one.
class RemoteRegion
{
public:
    RemoteRegion(int hosts, std::size_t valueSize)
        : m_link(m_scheduler), m_row{{std::string(Table), "", "config"}, {}, 1, false}
    {
        m_row.value.assign(valueSize, 'x');
        m_versions.resize(static_cast<std::size_t>(hosts));
        for (int n = 0; n < hosts; ++n) {
            m_stores.push_back(std::make_unique<RemoteStore>(m_scheduler, m_link, m_row));
            // Hosts poll at different times.
            m_scheduler.runAfter(Wait * n / hosts, [this, n] { watch(n); });
        }
        m_scheduler.runFor(10s);
    }

    // Writes a new value, and returns the time until all hosts have it.
    Duration write(std::size_t valueSize)
    {
        m_row.value.assign(valueSize, 'x');
        ++m_row.version;
        const auto begin = m_scheduler.now();
        for (auto &it : m_stores) {
            it->notify();
        }
        while (!std::ranges::all_of(m_versions, [&](std::uint64_t it) { return it == m_row.version; })) {
            m_scheduler.runNext();
        }
        return m_scheduler.now() - begin;
    }
    void advance(Duration d)
    {
        m_scheduler.runFor(d);
    }
    int givenUp() const
    {
        int count = 0;
        for (const auto &it : m_stores) {
            count += it->givenUp();
        }
        return count;
    }

private:
    void watch(int n)
    {
        auto *version = &m_versions[static_cast<std::size_t>(n)];
        const auto note = [version](std::span<const ports::StoredRow> rows) {
            for (const auto &it : rows) {
                *version = it.version;
            }
        };
        m_watchers.push_back(std::make_unique<execution::TableWatcher>(
            *m_stores[static_cast<std::size_t>(n)], m_scheduler, m_log, std::string(Table),
            std::vector<std::string>{""}, Wait, execution::TableWatcher::Hooks{note, note, [](Duration) {}}));
    }

    ports::VirtualScheduler m_scheduler;
    NullLog m_log;
    SharedLink m_link;
    ports::StoredRow m_row;
    std::vector<std::uint64_t> m_versions;
    std::vector<std::unique_ptr<RemoteStore>> m_stores;
    std::vector<std::unique_ptr<execution::TableWatcher>> m_watchers;
};

} // namespace

// Guards against a large configuration that is sent to the same hosts again and again, which holds up
// all calls between two regions.
TEST(FeedTimeouts, LargeConfigurationIsSentOnceToEachHostOfARegion)
{
    constexpr int hosts = 86;
    RemoteRegion region(hosts, 4096);
    region.write(FormerLargeValueSize);
    region.advance(5s);
    const int before = region.givenUp();
    const auto time = region.write(LargeValueSize);
    EXPECT_EQ(region.givenUp() - before, 0) << "polls were given up while their answers were on the way";
    EXPECT_LE(time, ApplyBound);
}

// Guards against noticing late that a connection has gone silent.
TEST(FeedTimeouts, StaysShortForTablesOfTheSystem)
{
    FeedTimeouts timeouts(MaxOwnValueSize);
    const auto initial = timeouts.timeout("jobs", Wait);
    EXPECT_LT(initial, 2s);
    ports::RowPage page;
    for (int n = 0; n < 500; ++n) {
        page.rows.push_back({{"jobs", "", std::to_string(n)}, std::string(MaxOwnValueSize, 'x'), 1, false});
    }
    timeouts.noteAnswer("jobs", page);
    EXPECT_EQ(timeouts.timeout("jobs", Wait), initial);
}

// Guards against suspending all starts after one lost answer: the evacuations are in the table of the
// configuration.
TEST(FeedTimeouts, LeavesTimeToRepeatAPollWhileTasksMayStart)
{
    FeedTimeouts timeouts(MaxOwnValueSize);
    ports::RowPage page;
    page.rows.push_back({{std::string(Table), "", "config"}, std::string(16 * LargeValueSize, 'x'), 1, false});
    timeouts.noteAnswer(Table, page);
    membership::Evacuations evacuations;
    const TimePoint read(1h);
    evacuations.noteRead(read);
    const auto wait = evacuations.maxReadingInterval();
    const auto repeatedAt = read + wait + timeouts.timeout(Table, wait);
    const auto answeredAt = repeatedAt + wait;
    EXPECT_LT(answeredAt + StartValidity, evacuations.startsValidUntil());
}

TEST(FeedTimeouts, FollowsTheSizeOfTheLastLargeValue)
{
    FeedTimeouts timeouts(MaxOwnValueSize);
    const auto initial = timeouts.timeout(Table, Wait);
    const auto note = [&](std::size_t size) {
        ports::RowPage page;
        page.rows.push_back({{std::string(Table), "", "config"}, std::string(size, 'x'), 1, false});
        timeouts.noteAnswer(Table, page);
    };
    note(MaxOwnValueSize);
    EXPECT_EQ(timeouts.timeout(Table, Wait), initial);
    note(FormerLargeValueSize / 2);
    const auto larger = timeouts.timeout(Table, Wait);
    EXPECT_GT(larger, initial + 1s);
    EXPECT_EQ(timeouts.timeout("leader", Wait), initial);
    note(FormerLargeValueSize);
    EXPECT_GT(timeouts.timeout(Table, Wait), larger);
    note(16 * LargeValueSize);
    EXPECT_LE(timeouts.timeout(Table, Wait), Wait + ApplyBound);
}

} // namespace monsoonspool::platform
