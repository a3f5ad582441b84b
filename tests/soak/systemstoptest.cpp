// Stops of a host's process while one kind of work is pending in it. Each must end in order, within the time that the
// settings allow, and leave no request without an answer. A build with sanitizers tells of what outlives its owner.
#include "http/apiclient.h"
#include "soak/entryhost.h"
#include "soak/jobclients.h"
#include "soak/platformstandin.h"
#include "soak/temporaryfolder.h"
#include "soak/testprogram.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <vector>

namespace monsoonspool::soak {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};
constexpr Duration MaxReadyTime = 20s;
constexpr Duration StopGrace = 5s; // as in the settings that EntryHost writes
constexpr std::chrono::milliseconds CallTimeout{8000}; // longer than a stop, so that a cut connection shows
constexpr std::string_view Job = R"({"spec":"soak","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":1000}]})";
const std::string JobTarget = std::string(QueuePrefix) + "00000000000000a7";

// One host beside a stand-in of the platform.
class StoppedHost
{
public:
    explicit StoppedHost(const std::string &name, Duration storeDelay = Duration(0))
        : m_folder("systemstoptest-" + name), m_platform({1, 2, ConnectionKind::Keep, storeDelay}, m_recorder, m_faults)
    {
        EXPECT_TRUE(handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_platform.start());
                return true;
            },
            [](const Failure &) { return false; }));
    }

    // Starts the process, with another address of the store if there is one.
    void start(std::optional<ports::Address> store = std::nullopt)
    {
        m_host.emplace(
            EntryHostOptions{testProgram(), m_folder.path(), "host", "a", store.value_or(m_platform.storeAddress())});
        EXPECT_TRUE(handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_host->start());
                return true;
            },
            [](const Failure &) { return false; }));
        await([&] { return logContains("\"start\""); });
    }
    void awaitReady()
    {
        await([&] { return m_host->isReady(); });
    }

    // Sends a request on a connection of its own.
    void send(const std::string &method, const std::string &target, std::string_view body = {})
    {
        const http::ApiCall call{method,
                                 target,
                                 std::string(body),
                                 {{"Host", std::string(QueueHost)}, {"Content-Type", "application/json"}},
                                 CallTimeout};
        m_answers.push_back(std::async(std::launch::async, [address = m_host->clientAddress(), call] {
            return handleFailure(
                [&]() -> Result<int> {
                    BOOST_LEAF_AUTO(answer, http::callAndWait(address, call));
                    return answer.status;
                },
                [](const Failure &failure) {
                    ADD_FAILURE() << failure.detail;
                    return 0;
                });
        }));
    }
    void silenceStore()
    {
        m_platform.silenceStore();
    }
    void signal(int number)
    {
        m_host->sendSignal(number);
    }
    // Waits for the end of a process that was asked to stop at `askedAt`.
    void expectEndInOrder(TimePoint askedAt)
    {
        const auto until = askedAt + StopGrace;
        while (!m_host->reap() && monotonicNow() < until) {
            std::this_thread::sleep_for(PollInterval);
        }
        EXPECT_TRUE(m_host->reap()) << "the process has not ended in time";
        EXPECT_TRUE(m_host->hasEndedInOrder()) << m_host->describeEnd();
        for (auto &it : m_answers) {
            EXPECT_NE(it.get(), 0) << "a request has no answer";
        }
    }

private:
    template <typename F>
    static void await(F isReached)
    {
        const auto until = monotonicNow() + MaxReadyTime;
        while (!isReached() && monotonicNow() < until) {
            std::this_thread::sleep_for(PollInterval);
        }
        ASSERT_TRUE(isReached());
    }
    bool logContains(std::string_view text) const
    {
        std::ifstream log(m_folder.path() + "/host.log");
        const std::string content{std::istreambuf_iterator<char>(log), {}};
        return content.find(text) != std::string::npos;
    }

    TemporaryFolder m_folder;
    Recorder m_recorder;
    FaultCounts m_faults;
    PlatformStandIn m_platform;
    std::optional<EntryHost> m_host;
    std::vector<std::future<int>> m_answers;
};

// What is pending at a stop.
struct PendingWork
{
    const char *name;
    bool isStoreSilent; // since shortly before the stop
    std::function<void(StoppedHost &)> send;
};

std::ostream &operator<<(std::ostream &out, const PendingWork &work)
{
    return out << work.name;
}

const std::vector<PendingWork> &pendingWork()
{
    static const std::vector<PendingWork> work = {
        {"ANewHost", false, [](StoppedHost &) {}},
        {"AStatus", true, [](StoppedHost &it) { it.send("GET", JobTarget); }},
        {"ASubmission", true, [](StoppedHost &it) { it.send("POST", JobTarget, Job); }},
        {"ACancellation", true, [](StoppedHost &it) { it.send("DELETE", JobTarget); }},
        {"AWaitingCount", true, [](StoppedHost &it) { it.send("GET", std::string(QueuePrefix)); }},
        // The timers of answered requests still wait.
        {"AnAnsweredStatus", false, [](StoppedHost &it) { it.send("GET", JobTarget); }},
        // The worker's listing, the watches and the job's run.
        {"ARunningJob", false, [](StoppedHost &it) { it.send("POST", JobTarget, Job); }},
        {"AReload", false, [](StoppedHost &it) { it.signal(SIGHUP); }},
        {"EverythingWithoutTheStore", true,
         [](StoppedHost &it) {
             it.send("GET", JobTarget);
             it.send("POST", JobTarget, Job);
             it.send("DELETE", std::string(QueuePrefix) + "00000000000000a8");
             it.send("GET", std::string(QueuePrefix));
         }},
    };
    return work;
}

class StopWithPendingWork : public ::testing::TestWithParam<PendingWork>
{
};

} // namespace

// Guards against work that outlives what it refers to: a timer that held a reply closed the reply's connection after
// the connection's io_context had ended, and the process crashed (review/9).
TEST_P(StopWithPendingWork, EndsInOrderWithPendingWork)
{
    StoppedHost host(GetParam().name);
    host.start();
    host.awaitReady();
    if (GetParam().isStoreSilent) {
        host.silenceStore();
    }
    GetParam().send(host);
    std::this_thread::sleep_for(100ms);
    const auto askedAt = monotonicNow();
    host.signal(SIGTERM);
    host.expectEndInOrder(askedAt);
}

// Guards against the same for requests that arrive while the host drains, some of which are pending at its end: their
// connections were cut without an answer.
TEST_P(StopWithPendingWork, EndsInOrderWithWorkThatArrivesWhileItDrains)
{
    StoppedHost host(std::string("draining-") + GetParam().name);
    host.start();
    host.awaitReady();
    if (GetParam().isStoreSilent) {
        host.silenceStore();
    }
    const auto askedAt = monotonicNow();
    host.signal(SIGTERM);
    std::this_thread::sleep_for(1s);
    GetParam().send(host);
    host.expectEndInOrder(askedAt);
}

INSTANTIATE_TEST_SUITE_P(System, StopWithPendingWork, ::testing::ValuesIn(pendingWork()),
                         [](const auto &param) { return std::string(param.param.name); });

// Guards against a second signal that ends the host before its clients have left it.
TEST(SystemStop, AnotherSignalDuringAStopChangesNothing)
{
    StoppedHost host("second-signal");
    host.start();
    host.awaitReady();
    host.send("POST", JobTarget, Job);
    std::this_thread::sleep_for(100ms);
    const auto askedAt = monotonicNow();
    host.signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    host.signal(SIGTERM);
    host.signal(SIGHUP);
    host.signal(SIGINT);
    std::this_thread::sleep_for(200ms);
    host.send("GET", JobTarget);
    host.expectEndInOrder(askedAt);
}

// Guards against a stop that needs the store, or what was read from it.
TEST(SystemStop, AHostThatHasNeverReachedTheStoreEndsInOrder)
{
    StoppedHost host("no-store");
    host.start(ports::Address{"127.0.0.1", 1});
    host.send("GET", JobTarget);
    std::this_thread::sleep_for(200ms);
    const auto askedAt = monotonicNow();
    host.signal(SIGTERM);
    host.expectEndInOrder(askedAt);
}

// Guards against a claim for leadership, and the reading after it, that outlive the host's term.
TEST(SystemStop, AHostThatClaimsLeadershipEndsInOrder)
{
    for (const auto before : {0ms, 300ms, 900ms, 1500ms}) {
        SCOPED_TRACE(before.count());
        StoppedHost host("claim", 400ms);
        host.start();
        std::this_thread::sleep_for(before);
        const auto askedAt = monotonicNow();
        host.signal(SIGTERM);
        host.expectEndInOrder(askedAt);
    }
}

} // namespace monsoonspool::soak
