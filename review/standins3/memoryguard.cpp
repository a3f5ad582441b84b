#include "memoryguard.h"

#include <algorithm>

namespace review {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr double MemoryMb = 260; // of kerbrat-spool
constexpr auto RestartDelay = 800ms;
// A job may have nothing at work for 3 s; the rest is for the loopback machine.
constexpr auto MaxStandstill = 4s;
constexpr auto CheckInterval = 20ms;
constexpr int MaxTries = 6;

// A client tries one host after the other. Returns whether the job was accepted.
bool handIn(Deployment &deployment, const std::string &id)
{
    const std::string body = R"({"spec":"probe","steps":[{"count":1,"cpu":1000,"memMb":500,"estimateMs":600}]})";
    auto &hosts = deployment.hosts();
    for (int n = 0; n < MaxTries; ++n) {
        auto &host = *hosts[static_cast<std::size_t>(n) % hosts.size()];
        if (deployment.submit(host, deployment.routes()[0], id, body).status == 200) {
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

MemoryGuard::MemoryGuard(Deployment &deployment, Record &record) : m_deployment(deployment), m_record(record)
{
    m_thread = std::thread([this] { run(); });
}

MemoryGuard::~MemoryGuard()
{
    m_isClosed = true;
    m_thread.join();
}

void MemoryGuard::kill(Host &host)
{
    const std::lock_guard lock(m_mutex);
    host.kill();
    m_startAt[&host] = Clock::now() + RestartDelay;
}

std::map<std::string, int> MemoryGuard::endsByHost()
{
    const std::lock_guard lock(m_mutex);
    return m_ends;
}

void MemoryGuard::run()
{
    while (!m_isClosed) {
        std::this_thread::sleep_for(CheckInterval);
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

std::string hexName(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

int probe(Deployment &deployment, MemoryGuard &guard, Record &record, int jobs)
{
    int standing = 0;
    int accepted = 0;
    for (int n = 0; n < jobs; ++n) {
        const auto id = hexName(0x1000'0000'0000'0000ULL * static_cast<unsigned>(2 * n) + 77U);
        if (!handIn(deployment, id)) {
            continue;
        }
        ++accepted;
        const auto until = Clock::now() + MaxStandstill;
        while (Clock::now() < until && !hasBegun(deployment, id)) {
            std::this_thread::sleep_for(CheckInterval);
        }
        int running = 0;
        for (const auto &it : deployment.runners()) {
            running += it->runningCount();
        }
        if (!hasBegun(deployment, id)) {
            ++standing;
            record.note("standstill",
                        id + " was accepted and has not begun; " + std::to_string(running)
                            + " tasks run on all runners");
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
