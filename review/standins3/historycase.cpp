// A change of leader after jobs have been accepted and cancelled for a while. The platform kills a process that
// exceeds the memory of its machine, and starts it again.
#include "cases.h"
#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace review {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Of kerbrat-spool.
constexpr double MemoryMb = 260;
constexpr auto Recovery = 12s;
constexpr auto RestartDelay = 800ms;
// A job may have nothing at work for 3 s; the rest is for the loopback machine.
constexpr auto MaxStandstill = 4s;

// Jobs of cut-stitch-plan have up to 5 steps of up to 32 tasks, and a spec of up to 4,000 bytes.
constexpr int Jobs = 12'000;
constexpr int MinJobs = 11'000;
constexpr int Steps = 4;
constexpr int Width = 24;
constexpr std::size_t SpecBytes = 2400;
constexpr int Clients = 24;
constexpr int CallTimeoutMs = 3000;
constexpr auto TimeToHandIn = 60s;
constexpr int ProbeJobs = 6;

std::string jobBody(int steps, int width, std::size_t specBytes)
{
    auto list = nlohmann::json::array();
    for (int n = 0; n < steps; ++n) {
        nlohmann::json step
            = {{"count", width}, {"cpu", 3500}, {"memMb", 6400}, {"estimateMs", 1700}, {"checkpoints", true}};
        if (n > 0) {
            step["after"] = {n - 1};
        }
        list.push_back(step);
    }
    return nlohmann::json{{"spec", std::string(specBytes, 'x')}, {"steps", list}}.dump();
}

std::string hexName(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

struct Counts
{
    std::atomic<int> accepted{0};
    std::atomic<int> cancelled{0};
    std::atomic<int> unanswered{0};
};

// Hands in jobs and cancels each as soon as it is accepted.
void handInAndCancel(Deployment &deployment, Counts &counts)
{
    const auto body = jobBody(Steps, Width, SpecBytes);
    const auto until = Clock::now() + TimeToHandIn;
    std::atomic<int> next{0};
    std::vector<std::thread> clients;
    for (int n = 0; n < Clients; ++n) {
        clients.emplace_back([&, n] {
            std::mt19937_64 random(static_cast<std::uint64_t>(n) + 1);
            auto &hosts = deployment.hosts();
            Connection connection(hosts[static_cast<std::size_t>(n) % hosts.size()]->front());
            const auto &route = deployment.routes()[1];
            const auto fields = "Host: " + route.host + "\r\nContent-Type: application/json\r\n";
            while (next++ < Jobs && Clock::now() < until) {
                const auto path = route.prefix + hexName(random());
                if (connection.call("POST", path, fields, body, CallTimeoutMs).status != 200) {
                    ++counts.unanswered;
                    continue;
                }
                ++counts.accepted;
                const int status = connection.call("DELETE", path, fields, {}, CallTimeoutMs).status;
                ++(status == 200 || status == 410 ? counts.cancelled : counts.unanswered);
            }
        });
    }
    for (auto &it : clients) {
        it.join();
    }
}

// Kills processes that exceed the memory of their machine and starts them again, as the platform does.
class MemoryGuard
{
public:
    MemoryGuard(Deployment &deployment, Record &record) : m_deployment(deployment), m_record(record)
    {
        m_thread = std::thread([this] { run(); });
    }
    ~MemoryGuard()
    {
        m_isClosed = true;
        m_thread.join();
    }
    MemoryGuard(const MemoryGuard &) = delete;
    MemoryGuard &operator=(const MemoryGuard &) = delete;

    // Kills a host for a reason of its own; it is started again as well.
    void kill(Host &host)
    {
        const std::lock_guard lock(m_mutex);
        host.kill();
        m_startAt[&host] = Clock::now() + RestartDelay;
    }
    std::map<std::string, int> endsByHost()
    {
        const std::lock_guard lock(m_mutex);
        return m_ends;
    }
    std::unique_lock<std::mutex> lock()
    {
        return std::unique_lock(m_mutex);
    }

private:
    void run()
    {
        while (!m_isClosed) {
            std::this_thread::sleep_for(20ms);
            const std::lock_guard lock(m_mutex);
            for (auto &it : m_deployment.hosts()) {
                const double memory = it->memoryMb();
                if (memory > MemoryMb) {
                    m_record.note("memory", it->name() + " has " + std::to_string(memory) + " MB");
                    it->kill();
                    ++m_ends[it->name()];
                    m_startAt[it.get()] = Clock::now() + RestartDelay;
                }
                const auto due = m_startAt.find(it.get());
                if (due != m_startAt.end() && Clock::now() >= due->second) {
                    it->start();
                    m_startAt.erase(due);
                }
            }
        }
    }

    Deployment &m_deployment;
    Record &m_record;
    std::mutex m_mutex;
    std::map<Host *, Clock::time_point> m_startAt;
    std::map<std::string, int> m_ends;
    std::atomic<bool> m_isClosed{false};
    std::thread m_thread;
};

// Hands in a job of one task; a client tries one host after the other. Returns whether it was accepted.
bool handIn(Deployment &deployment, const std::string &id)
{
    const auto body = jobBody(1, 1, 8);
    for (int n = 0; n < 6; ++n) {
        auto &hosts = deployment.hosts();
        if (deployment.submit(*hosts[static_cast<std::size_t>(n) % hosts.size()], deployment.routes()[0], id, body)
                .status
            == 200) {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

bool hasBegun(Deployment &deployment, const std::string &id)
{
    return std::ranges::any_of(deployment.runners(), [&](const auto &runner) {
        const auto begun = runner->begun();
        return std::ranges::any_of(begun, [&](const Begun &it) { return it.task.starts_with(id); });
    });
}

} // namespace

int runHistoryCase(Record &record)
{
    Deployment deployment({3, 16}, record, [](const std::string &) { return std::optional(600ms); });
    if (!deployment.start()) {
        return 2;
    }
    MemoryGuard guard(deployment, record);
    Counts counts;
    handInAndCancel(deployment, counts);
    record.note("handed-in",
                std::to_string(counts.accepted) + " accepted, " + std::to_string(counts.cancelled) + " cancelled, "
                    + std::to_string(counts.unanswered) + " calls without success");
    if (counts.cancelled < MinJobs) {
        return 2;
    }
    std::this_thread::sleep_for(2s);
    for (auto &it : deployment.hosts()) {
        record.note("memory", it->name() + " has " + std::to_string(it->memoryMb()) + " MB");
    }
    auto *leader = deployment.leader();
    if (leader == nullptr) {
        return 2;
    }
    if (hasTrouble()) {
        record.note("disruption", "the leader " + leader->name() + " is killed");
        guard.kill(*leader);
    }
    std::this_thread::sleep_for(Recovery);
    int standing = 0;
    int accepted = 0;
    for (int n = 0; n < ProbeJobs; ++n) {
        const auto id = hexName(0x1000'0000'0000'0000ULL * static_cast<unsigned>(2 * n) + 77U);
        if (!handIn(deployment, id)) {
            continue;
        }
        ++accepted;
        const auto until = Clock::now() + MaxStandstill;
        while (Clock::now() < until && !hasBegun(deployment, id)) {
            std::this_thread::sleep_for(20ms);
        }
        if (!hasBegun(deployment, id)) {
            ++standing;
            record.note("standstill", id + " was accepted and has not begun; all runners are idle");
        }
    }
    int repeatedEnds = 0;
    for (const auto &[host, ends] : guard.endsByHost()) {
        record.note("ends", host + " was over its memory " + std::to_string(ends) + " times");
        repeatedEnds += ends >= 3 ? 1 : 0;
    }
    record.note("verdict",
                std::to_string(standing) + " of " + std::to_string(accepted) + " accepted jobs stand still; "
                    + std::to_string(repeatedEnds) + " hosts were over their memory three times");
    return accepted == 0 ? 2 : standing > 0 ? 1 : 0;
}

} // namespace review
