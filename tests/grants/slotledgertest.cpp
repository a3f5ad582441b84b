#include "grants/slotledger.h"

#include "grants/grantholder.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>

namespace monsoonspool::grants {

namespace {

constexpr TimePoint Start{1h};
const LedgerKey Key{PoolName("pool"), RegionName("region")};

GrantTimes shortTimes()
{
    GrantTimes times;
    times.startWindow = 5s;
    times.timeLimit = 2s;
    times.ownerLease = 1s;
    times.clockMargin = 100ms;
    return times;
}

HolderId holder(int n)
{
    return {EntryHostId("entry-" + std::to_string(n)), 1, 0};
}

std::vector<TargetCapacity> targets(int n, int slots)
{
    std::vector<TargetCapacity> all;
    for (int i = 0; i < n; ++i) {
        all.push_back({TargetId("target-" + std::to_string(i)), slots, slots * 4, false});
    }
    return all;
}

SlotLedger ledgerWith(int holders, int targetCount, int slots)
{
    SlotLedger ledger({Epoch{1}, shortTimes(), 4, false, {}}, Start);
    ledger.setTargets(targets(targetCount, slots), Start);
    for (int n = 0; n < holders; ++n) {
        const std::vector<HolderId> ids{holder(n)};
        ledger.admit(ids, Start);
    }
    return ledger;
}

ErrorKind errorOf(SlotLedger &ledger, const SlotRequest &request, TimePoint now)
{
    return handleFailure(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(ledger.handle(request, now));
            return ErrorKind::Internal;
        },
        [](const Failure &failure) { return failure.kind; });
}

// Sends the due request of `it` to the ledger and applies the offer. Returns the slots
// held afterwards.
int exchange(SlotLedger &ledger, GrantHolder &it, int wanted, TimePoint now)
{
    const auto request = it.nextRequest(wanted, false, now);
    if (!request) {
        return it.heldCount();
    }
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(offer, ledger.handle(*request, now));
            return it.accept(offer);
        },
        [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
    return it.heldCount();
}

// Lets the slots of `silent` expire and `other` receive them. Returns the time afterwards.
TimePoint passSlotsOn(SlotLedger &ledger, GrantHolder &silent, GrantHolder &other)
{
    EXPECT_EQ(exchange(ledger, silent, 8, Start), 8);
    const TimePoint end = Start + shortTimes().slotLifetime() + 1s;
    for (TimePoint now = Start + 1s; now < end; now += 1s) {
        exchange(ledger, other, 8, now);
    }
    EXPECT_EQ(exchange(ledger, other, 8, end), 8);
    return end;
}

// Acquires all slots that `it` may use now. Returns their number.
int acquireAll(GrantHolder &it, TimePoint now)
{
    int n = 0;
    for (std::size_t index = 0; index < it.slots().size(); ++index) {
        while (it.tryAcquire(index, now)) {
            ++n;
        }
    }
    return n;
}

} // namespace

TEST(SlotLedger, AllocatesByDemandAndSpreadsTheRest)
{
    auto ledger = ledgerWith(2, 4, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    TimePoint now = Start;
    exchange(ledger, a, 20, now);
    for (int n = 0; n < 4; ++n) {
        now += 2s;
        exchange(ledger, b, 4, now);
        exchange(ledger, a, 20, now);
    }
    EXPECT_EQ(a.heldCount() + b.heldCount(), 32);
    EXPECT_GE(a.heldCount(), 20);
    EXPECT_GE(b.heldCount(), 4);
}

TEST(SlotLedger, GivesNearHoldersFirst)
{
    auto ledger = ledgerWith(2, 4, 8);
    GrantHolder near(Key, holder(0), false);
    GrantHolder far(Key, holder(1), true);
    TimePoint now = Start;
    for (int n = 0; n < 4; ++n) {
        now += 2s;
        exchange(ledger, far, 100, now);
        exchange(ledger, near, 24, now);
    }
    EXPECT_EQ(near.heldCount(), 24);
    EXPECT_EQ(far.heldCount(), 8);
}

TEST(SlotLedger, RejectsStaleAndRepeatedRequests)
{
    auto ledger = ledgerWith(1, 1, 8);
    SlotRequest request;
    request.holder = holder(0);
    request.sequence = 5;
    request.wanted = 3;
    EXPECT_EQ(errorOf(ledger, request, Start), ErrorKind::Internal);
    EXPECT_EQ(errorOf(ledger, request, Start), ErrorKind::Superseded);
    request.sequence = 4;
    EXPECT_EQ(errorOf(ledger, request, Start), ErrorKind::Superseded);
    request.sequence = 6;
    request.appliedEpoch = Epoch{2};
    EXPECT_EQ(errorOf(ledger, request, Start), ErrorKind::StaleEpoch);
    request.holder = holder(9);
    request.appliedEpoch = {};
    EXPECT_EQ(errorOf(ledger, request, Start), ErrorKind::Unauthorized);
    EXPECT_EQ(ledger.holdersToAdmit().size(), 1U);
}

TEST(SlotLedger, KeepsTheSlotsOfASilentHolderUntilTheyExpire)
{
    auto ledger = ledgerWith(2, 1, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    EXPECT_EQ(exchange(ledger, a, 8, Start), 8);
    const TimePoint expiry = Start + shortTimes().slotLifetime();
    for (TimePoint now = Start + 1s; now < expiry; now += 1s) {
        EXPECT_EQ(exchange(ledger, b, 8, now), 0);
    }
    EXPECT_EQ(exchange(ledger, b, 8, expiry + 1s), 8);
}

TEST(SlotLedger, FreesTheSlotsOfADeadHolderAfterTheTimeLimit)
{
    auto ledger = ledgerWith(2, 1, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    exchange(ledger, a, 8, Start);
    ledger.markProcessDead(EntryHostId("entry-0"), 1, Start + 1s);
    EXPECT_EQ(exchange(ledger, b, 8, Start + 2s), 0);
    EXPECT_EQ(exchange(ledger, b, 8, Start + 1s + shortTimes().slotLifetimeAfterDeath() + 1s), 8);
}

TEST(SlotLedger, KeepsHoldingsThroughAChangeOfOwner)
{
    auto first = ledgerWith(2, 2, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    exchange(first, a, 6, Start);
    exchange(first, b, 6, Start);
    const int heldByA = a.heldCount();
    TimePoint now = Start + 1s;
    SlotLedger second({Epoch{2}, shortTimes(), 4, true, first.admittedHolders()}, now);
    second.setTargets(targets(2, 8), now);
    exchange(second, a, 6, now); // the new owner asks for the holdings
    EXPECT_EQ(a.heldCount(), heldByA);
    now += 1s;
    exchange(second, a, 6, now);
    EXPECT_EQ(a.heldCount(), heldByA) << "no slot is free until b has reported its holdings";
    exchange(second, b, 6, now);
    exchange(second, b, 6, now + 1s);
    EXPECT_EQ(second.summary(now + 1s).unknown, 0);
    EXPECT_LE(second.committedSlots(TargetId("target-0")), 8);
}

// A holder reported an offer whose start window had closed to a new owner as holdings,
// after the previous owner had granted its slots to another holder.
TEST(SlotLedger, ANewOwnerAdoptsNoHoldingsThatHaveExpired)
{
    auto first = ledgerWith(2, 1, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    TimePoint now = passSlotsOn(first, a, b);
    const std::vector<HolderId> known{holder(0), holder(1)};
    SlotLedger second({Epoch{2}, shortTimes(), 4, true, known}, now);
    second.setTargets(targets(1, 8), now);
    for (int n = 0; n < 4; ++n) {
        now += 1s;
        exchange(second, a, 8, now);
        exchange(second, b, 8, now);
        EXPECT_LE(second.committedSlots(TargetId("target-0")), 8);
    }
    EXPECT_EQ(acquireAll(a, now) + acquireAll(b, now), 8);
}

// The ledger confirmed the expired offer of a holder that it had admitted again.
TEST(SlotLedger, AHolderThatIsAdmittedAgainUsesNoneOfItsExpiredSlots)
{
    auto ledger = ledgerWith(2, 1, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    const TimePoint now = passSlotsOn(ledger, a, b);
    const std::vector<HolderId> readmitted{holder(0)};
    ledger.admit(readmitted, now);
    exchange(ledger, a, 8, now);
    EXPECT_EQ(acquireAll(a, now) + acquireAll(b, now), 8);
}

// A request that was sent before the holder's slots expired was answered after they had
// passed to another holder, with the answer that the applied offer stays valid.
TEST(SlotLedger, ConfirmsNoOfferThatItNoLongerCounts)
{
    auto ledger = ledgerWith(2, 1, 8);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    exchange(ledger, a, 8, Start);
    const auto delayed = a.nextRequest(8, false, Start + 4s);
    ASSERT_TRUE(delayed);
    const TimePoint end = Start + shortTimes().slotLifetime() + 1s;
    for (TimePoint now = Start + 1s; now < end; now += 1s) {
        exchange(ledger, b, 8, now);
    }
    EXPECT_EQ(exchange(ledger, b, 8, end), 8);
    const std::vector<HolderId> readmitted{holder(0)};
    ledger.admit(readmitted, end);
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(offer, ledger.handle(*delayed, end));
            return a.accept(offer);
        },
        [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
    EXPECT_EQ(acquireAll(a, end) + acquireAll(b, end), 8);
}

// A ledger freed the slots of a holder within its lease, after the holder had reported
// them to the next owner.
TEST(SlotLedger, KeepsSlotsThatANewOwnerMayHaveAdoptedUntilItsLeaseEnds)
{
    GrantTimes times = shortTimes();
    times.ownerLease = 6s; // longer than the time limit of a request
    const std::vector<HolderId> known{holder(0), holder(1)};
    SlotLedger first({Epoch{1}, times, 4, false, {}}, Start);
    first.setTargets(targets(1, 8), Start);
    first.admit(known, Start);
    GrantHolder a(Key, holder(0));
    GrantHolder b(Key, holder(1));
    exchange(first, a, 8, Start);
    // The second owner takes over shortly before the start window of `a` closes.
    TimePoint now = Start + times.startWindow - 1s;
    SlotLedger second({Epoch{2}, times, 4, true, known}, now);
    second.setTargets(targets(1, 8), now);
    const TimePoint leaseEnd = now + times.ownerLease;
    for (; now < leaseEnd; now += 500ms) {
        exchange(second, a, 8, now);
        exchange(first, b, 8, now);
    }
    EXPECT_LE(acquireAll(a, leaseEnd) + acquireAll(b, leaseEnd), 8);
}

TEST(SlotLedger, NeverExceedsTheConnectionLimitOfATarget)
{
    SlotLedger ledger({Epoch{1}, shortTimes(), 2, false, {}}, Start);
    ledger.setTargets(std::vector<TargetCapacity>{{TargetId("t"), 10, 7, false}}, Start);
    int connections = 0;
    for (int n = 0; n < 4; ++n) {
        ledger.admit(std::vector<HolderId>{holder(n)}, Start);
        GrantHolder it(Key, holder(n));
        exchange(ledger, it, 10, Start);
        for (const auto &slot : it.slots()) {
            connections += slot.connections;
            EXPECT_LE(slot.allowed, slot.connections);
        }
    }
    EXPECT_LE(connections, 7);
}

namespace {

// Simulates holders and owners on a network that drops, delays, duplicates and
// reorders messages, while holders pause, expire and are admitted again, and owners are
// replaced. Counts the slots in use independently of holders and owners.
class SlotProtocolModel
{
public:
    static constexpr int Holders = 3;
    static constexpr int Targets = 2;
    static constexpr int Slots = 4;

    explicit SlotProtocolModel(const GrantTimes &times) : m_times(times), m_now(Start)
    {
        for (int n = 0; n < Holders; ++n) {
            m_holders.emplace_back(Key, holder(n));
        }
        replaceOwner(true);
    }

    void step(int action, int a, int b)
    {
        const auto n = static_cast<std::size_t>(a % Holders);
        switch (action) {
        case 0:
        case 1:
            send(n, b % (2 * Targets * Slots));
            break;
        case 2:
        case 3:
        case 4:
            deliver(static_cast<std::size_t>(b), false);
            break;
        case 5:
            deliver(static_cast<std::size_t>(b), true);
            break;
        case 6:
        case 7:
        case 8:
            startRequest(n, static_cast<std::size_t>(b));
            break;
        case 9:
        case 10:
            finishOne(n);
            break;
        case 11:
            m_now += std::chrono::milliseconds(b % 3000);
            finishTimedOut();
            break;
        case 12:
            if (b % 7 == 0) {
                replaceOwner(false);
            } else {
                admitHolders();
            }
            break;
        default:
            dropMessage(static_cast<std::size_t>(b));
            break;
        }
        checkSlotLimits();
    }

private:
    struct Message
    {
        std::optional<SlotRequest> request;
        std::optional<SlotOffer> offer;
        std::size_t owner = 0; // receiver, for a request
    };
    struct RunningRequest
    {
        std::size_t holder;
        TargetId target;
        TimePoint endBy;
    };
    struct Owner
    {
        SlotLedger ledger;
        TimePoint leaseEnd; // set when the owner is replaced
    };

    void replaceOwner(bool isFirst)
    {
        std::vector<HolderId> known;
        for (int n = 0; n < Holders; ++n) {
            known.push_back(holder(n));
        }
        for (auto &it : m_owners) {
            it.leaseEnd = std::min(it.leaseEnd, m_now + m_times.ownerLease);
        }
        const Epoch epoch{m_owners.size() + 1};
        m_owners.push_back({SlotLedger({epoch, m_times, 4, !isFirst, isFirst ? std::vector<HolderId>() : known}, m_now),
                            TimePoint::max()});
        m_owners.back().ledger.setTargets(targets(Targets, Slots), m_now);
        m_owners.back().ledger.admit(known, m_now);
    }

    // The owner that replaces all others admits; the store refuses the writes of a former one.
    void admitHolders()
    {
        auto &ledger = m_owners.back().ledger;
        ledger.admit(ledger.holdersToAdmit(), m_now);
    }

    void send(std::size_t n, int wanted)
    {
        if (auto request = m_holders[n].nextRequest(wanted, false, m_now)) {
            // The receiver is the current owner or, at times, the previous one.
            const std::size_t owner
                = m_owners.size() - 1 - (static_cast<std::size_t>(wanted) % 5 == 0 && m_owners.size() > 1 ? 1 : 0);
            m_network.push_back({std::move(request), std::nullopt, owner});
        }
    }

    void deliver(std::size_t choice, bool isDuplicated)
    {
        if (m_network.empty()) {
            return;
        }
        const auto at = choice % m_network.size();
        const Message message = m_network[at];
        if (!isDuplicated) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (message.offer) {
            for (std::size_t n = 0; n < m_holders.size(); ++n) {
                if (message.offer->holder == holder(static_cast<int>(n))) {
                    handleFailure([&] { return m_holders[n].accept(*message.offer); }, [](const Failure &) {});
                }
            }
            return;
        }
        auto &owner = m_owners[message.owner];
        if (m_now >= owner.leaseEnd) {
            return;
        }
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(offer, owner.ledger.handle(*message.request, m_now));
                m_network.push_back({std::nullopt, std::move(offer), 0});
                return {};
            },
            [](const Failure &) {});
    }

    void dropMessage(std::size_t choice)
    {
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(choice % m_network.size()));
        }
    }

    void startRequest(std::size_t n, std::size_t choice)
    {
        auto &it = m_holders[n];
        if (it.slots().empty()) {
            return;
        }
        const auto index = choice % it.slots().size();
        const auto target = it.slots()[index].target;
        if (it.tryAcquire(index, m_now)) {
            m_running.push_back({n, target, m_now + m_times.timeLimit});
        }
    }

    void finishOne(std::size_t n)
    {
        const auto it = std::ranges::find(m_running, n, &RunningRequest::holder);
        if (it != m_running.end()) {
            m_holders[n].release(it->target);
            m_running.erase(it);
        }
    }

    // Every request ends within the time limit.
    void finishTimedOut()
    {
        for (auto it = m_running.begin(); it != m_running.end();) {
            if (it->endBy <= m_now) {
                m_holders[it->holder].release(it->target);
                it = m_running.erase(it);
            } else {
                ++it;
            }
        }
    }

    void checkSlotLimits() const
    {
        std::map<TargetId, int> inUse;
        for (const auto &it : m_running) {
            ++inUse[it.target];
        }
        for (const auto &[target, n] : inUse) {
            RC_ASSERT(n <= Slots);
        }
    }

    GrantTimes m_times;
    TimePoint m_now;
    std::vector<GrantHolder> m_holders;
    std::vector<Owner> m_owners;
    std::deque<Message> m_network;
    std::vector<RunningRequest> m_running;
};

} // namespace

TEST(SlotLedger, NeverExceedsTheSlotsOfATargetOnAnUnreliableNetwork)
{
    const bool holds = rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>> &steps) {
        for (const Duration ownerLease : {1s, 6s}) {
            GrantTimes times = shortTimes(); // the time limit is 2 s
            times.ownerLease = ownerLease;
            SlotProtocolModel model(times);
            // Repeats the steps with varied arguments to get long runs.
            for (int round = 0; round < 12; ++round) {
                for (const auto &[action, a, b] : steps) {
                    model.step((action + round) % 14, a + round, b + round * 31);
                }
            }
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace monsoonspool::grants
