#include "soak/soak.h"

#include "jobs/names.h"
#include "soak/entryhost.h"
#include "soak/failuredomains.h"
#include "soak/hostfaultinjector.h"
#include "soak/platformstandin.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <optional>
#include <thread>
#include <vector>

namespace monsoonspool::soak {

namespace {

constexpr std::chrono::milliseconds CheckInterval{20};
constexpr std::chrono::milliseconds ReadyPollInterval{50};
constexpr Duration ReadyTimeout = 30s;

void writeHistory(const std::string &folder, std::span<const Event> history)
{
    std::ofstream file(folder + "/history.log");
    const auto first = history.empty() ? TimePoint() : history.front().at;
    for (const auto &it : history) {
        file << toMilliseconds(it.at - first) << " ms " << eventKindName(it.kind);
        if (it.kind == EventKind::RunStarted || it.kind == EventKind::RunEnded) {
            file << " " << jobs::taskName(it.task) << " run " << it.run << " " << it.worker;
            if (it.kind == EventKind::RunEnded) {
                file << " " << runEndKindName(it.runEnd);
            }
        } else if (it.kind == EventKind::WorkerRegistered) {
            file << " " << it.worker << (it.takesOrders ? "" : " ignores orders");
        } else if (!it.host.empty()) {
            file << " " << it.host;
        } else {
            file << " " << jobs::jobName(it.job);
        }
        file << "\n";
    }
}

// The control thread of a soak: the hosts, the clients and the end.
class Controller
{
public:
    Controller(const SoakOptions &options, Recorder &recorder)
        : m_options(options), m_recorder(recorder), m_signals(m_io, SIGINT, SIGTERM), m_timer(m_io)
    {
    }

    Result<void> startHosts(const ports::Address &store)
    {
        for (int n = 0; n < m_options.hosts; ++n) {
            auto &host = m_hosts.emplace_back(EntryHostOptions{m_options.program, m_options.folder,
                                                               "host-" + std::to_string(n), failureDomain(n), store});
            BOOST_LEAF_CHECK(host.start());
        }
        const auto until = monotonicNow() + ReadyTimeout;
        while (!std::ranges::all_of(m_hosts, &EntryHost::isReady)) {
            for (auto &it : m_hosts) {
                if (it.reap()) {
                    return fail(ErrorKind::Internal, it.name() + " ended before it was ready: " + it.describeEnd());
                }
            }
            if (monotonicNow() > until) {
                return fail(ErrorKind::Internal, "a host is not ready; its log is in " + m_options.folder);
            }
            std::this_thread::sleep_for(ReadyPollInterval);
        }
        return {};
    }

    Result<void> run(SoakResult &result)
    {
        std::vector<ports::Address> addresses;
        std::ranges::transform(m_hosts, std::back_inserter(addresses), &EntryHost::clientAddress);
        JobClients clients(m_io, addresses, {m_options.clients, m_options.seed}, m_recorder);
        m_signals.async_wait([&](const boost::system::error_code &ec, int) {
            if (!ec) {
                result.isInterrupted = true;
                m_io.stop();
            }
        });
        const auto now = monotonicNow();
        const auto length = std::chrono::seconds(m_options.seconds);
        m_finishAt = now + length;
        HostFaultInjector injector(m_hosts,
                                   planHostFaults(m_options.hostFaults, m_options.seed, m_options.hosts, length), now,
                                   m_recorder, result.faults);
        clients.start();
        check(clients, injector);
        m_io.run();
        result.clients = clients.counts();
        if (m_failure) {
            return fail(m_failure->kind, m_failure->detail);
        }
        return {};
    }

private:
    void check(JobClients &clients, HostFaultInjector &injector)
    {
        const auto now = monotonicNow();
        m_failure = handleFailure(
            [&]() -> Result<std::optional<Failure>> {
                BOOST_LEAF_CHECK(injector.advance(now));
                return std::optional<Failure>();
            },
            [](const Failure &failure) { return std::optional(failure); });
        if (now >= m_finishAt) {
            clients.finish();
        }
        if (m_failure || clients.isIdle() || now >= m_finishAt + std::chrono::seconds(m_options.drainSeconds)) {
            m_io.stop();
            return;
        }
        m_timer.expires_after(CheckInterval);
        m_timer.async_wait([this, &clients, &injector](const boost::system::error_code &ec) {
            if (!ec) {
                check(clients, injector);
            }
        });
    }

    const SoakOptions &m_options;
    Recorder &m_recorder;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::vector<EntryHost> m_hosts;
    TimePoint m_finishAt;
    std::optional<Failure> m_failure;
};

} // namespace

Result<void> playSoak(const SoakOptions &options, SoakResult &result)
{
    Recorder recorder;
    PlatformStandIn platform({options.seed, options.workers, options.connections, options.storeDelay}, recorder,
                             result.faults);
    BOOST_LEAF_CHECK(platform.start());
    Controller controller(options, recorder);
    BOOST_LEAF_CHECK(controller.startHosts(platform.storeAddress()));
    BOOST_LEAF_CHECK(controller.run(result));
    const auto history = recorder.history();
    writeHistory(options.folder, history);
    result.verdict = HistoryChecker().check(history, monotonicNow());
    return {};
}

} // namespace monsoonspool::soak
