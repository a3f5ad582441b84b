#include "runner.h"

#include "record.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace review {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr std::int64_t HoldMaxMs = 10'000;
constexpr auto HeartbeatInterval = 1500ms;
constexpr std::size_t MaxListedEnds = 500;

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

Runner::Runner(RunnerOptions options, Address address, Store &store, Record &record, WorkTime workTime)
    : m_options(std::move(options)), m_address(address), m_store(store), m_record(record),
      m_workTime(std::move(workTime)), m_startedAt(Clock::now()), m_born(unixMs()),
      m_server(std::move(address), [this](const Request &it) { return handle(it); })
{
    m_timer = std::thread([this] { heartbeat(); });
}

Runner::~Runner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
    }
    m_changed.notify_all();
    m_timer.join();
}

void Runner::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        update();
        m_isUp = false;
        m_record.note("crash", m_options.id + " with " + std::to_string(m_running.size()) + " runs");
        while (!m_running.empty()) {
            auto &begun = m_begun[m_running.begin()->second.index];
            begun.endedAt = Clock::now();
            begun.how = "lost";
            m_running.erase(m_running.begin());
        }
        m_ended.clear();
        m_highestRun.clear();
        m_fence = 0;
        m_leaseEnd = 0;
        m_lastEnd = 0;
    }
    m_changed.notify_all();
    m_server.suspend();
}

void Runner::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isUp = true;
        m_startedAt = Clock::now();
        m_born = unixMs();
        m_seq = 0;
        m_record.note("restart", m_options.id);
    }
    m_server.resume();
    m_changed.notify_all();
}

std::vector<Begun> Runner::begun()
{
    const std::lock_guard lock(m_mutex);
    update();
    return m_begun;
}

int Runner::runningCount()
{
    const std::lock_guard lock(m_mutex);
    update();
    return static_cast<int>(m_running.size());
}

std::int64_t Runner::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
}

void Runner::extendLease(std::int64_t deadlineMs)
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(deadlineMs, clockMs() + HoldMaxMs));
}

void Runner::end(const std::string &task, const std::string &how, Clock::time_point at)
{
    const auto it = m_running.find(task);
    auto &begun = m_begun[it->second.index];
    begun.endedAt = at;
    begun.how = how;
    m_ended.push_back({++m_lastEnd, task, begun.run, how, it->second.index});
    m_running.erase(it);
    m_changed.notify_all();
}

// Ends the runs whose time has come.
void Runner::update()
{
    if (!m_isUp) {
        return;
    }
    const auto now = Clock::now();
    const auto leaseEndsAt = m_startedAt + std::chrono::milliseconds(m_leaseEnd);
    std::vector<std::pair<Clock::time_point, std::string>> due;
    for (const auto &[task, run] : m_running) {
        if (const auto at = std::min(run.endsAt, leaseEndsAt); at <= now) {
            due.emplace_back(at, task);
        }
    }
    std::ranges::sort(due);
    for (const auto &[at, task] : due) {
        const bool hasLapsed = m_running.at(task).endsAt > leaseEndsAt;
        end(task, hasLapsed ? "lapsed" : m_running.at(task).outcome, at);
    }
}

void Runner::heartbeat()
{
    std::unique_lock lock(m_mutex);
    auto writeDueAt = Clock::now();
    while (!m_isClosed) {
        if (m_isUp && Clock::now() >= writeDueAt) {
            writeDueAt = Clock::now() + HeartbeatInterval;
            lock.unlock();
            writeEntry();
            lock.lock();
        }
        update();
        auto until = writeDueAt;
        for (const auto &[task, run] : m_running) {
            until = std::min(until, run.endsAt);
        }
        m_changed.wait_until(lock, std::max(until, Clock::now() + 1ms));
    }
}

void Runner::writeEntry()
{
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        text = Json{{"service", m_options.service},
                    {"address", m_address.text()},
                    {"zone", m_options.zone},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"capacity", {{"cpu", m_options.milliCores}, {"memMb", m_options.memoryMiB}, {"gpu", 0}}},
                    {"labels", {"a", m_options.rack}},
                    {"clockMs", clockMs()},
                    {"born", m_born},
                    {"seq", ++m_seq}}
                   .dump();
    }
    m_store.put({"servers", "", m_options.id}, text);
}

Response Runner::refuse(const std::string &reason) const
{
    return {409, Json{{"clockMs", clockMs()}, {"reason", reason}}.dump()};
}

Response Runner::handle(const Request &request)
{
    const auto instance = request.field("expect-instance");
    if (!instance.empty() && instance != m_options.id) {
        return {421, "{}"};
    }
    if (request.path == "/run-start") {
        return start(request);
    }
    if (request.path == "/run-stop") {
        return stop(request);
    }
    if (request.path == "/hold") {
        return hold(request);
    }
    if (request.path == "/pace") {
        return pace(request);
    }
    return {request.path == "/health" ? 200 : 404, "{}"};
}

Response Runner::start(const Request &request)
{
    const auto json = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    update();
    const auto fence = json.value("fence", std::uint64_t(0));
    if (fence < m_fence) {
        return refuse("fence");
    }
    m_fence = fence;
    const auto task = json.at("task").get<std::string>();
    const auto run = json.at("run").get<std::uint64_t>();
    const auto deadline = json.at("deadlineMs").get<std::int64_t>();
    if (deadline < clockMs()) {
        return refuse("late");
    }
    if (const auto it = m_running.find(task); it != m_running.end() && m_begun[it->second.index].run == run) {
        extendLease(deadline);
        return {200, Json{{"clockMs", clockMs()}}.dump()};
    }
    extendLease(deadline);
    if (run <= m_highestRun[task] || m_running.contains(task)) {
        return refuse("old");
    }
    m_highestRun[task] = run;
    const auto now = Clock::now();
    const auto time = m_workTime(task);
    m_begun.push_back({m_options.id, task, run, now, Clock::time_point::max(), {}, false});
    m_running[task] = {m_begun.size() - 1, time ? now + *time : Clock::time_point::max(), "done"};
    m_record.note("start", task + " run " + std::to_string(run) + " on " + m_options.id);
    m_changed.notify_all();
    return {200, Json{{"clockMs", clockMs()}}.dump()};
}

Response Runner::stop(const Request &request)
{
    const auto json = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    update();
    const auto fence = json.value("fence", std::uint64_t(0));
    if (fence < m_fence) {
        return refuse("fence");
    }
    m_fence = fence;
    const auto task = json.at("task").get<std::string>();
    const auto run = json.at("run").get<std::uint64_t>();
    m_highestRun[task] = std::max(m_highestRun[task], run);
    if (const auto it = m_running.find(task); it != m_running.end() && m_begun[it->second.index].run == run) {
        const auto stopAt = Clock::now() + std::chrono::milliseconds(m_options.stopMs);
        if (stopAt < it->second.endsAt) {
            it->second.endsAt = stopAt;
            it->second.outcome = "stopped";
        }
        m_changed.notify_all();
    }
    return {200, Json{{"clockMs", clockMs()}}.dump()};
}

Response Runner::hold(const Request &request)
{
    const auto json = Json::parse(request.body);
    std::unique_lock lock(m_mutex);
    update();
    const auto fence = json.value("fence", std::uint64_t(0));
    if (fence < m_fence) {
        return refuse("fence");
    }
    m_fence = fence;
    const auto lastSeen = json.value("lastSeen", std::int64_t(0));
    std::erase_if(m_ended, [&](const End &it) {
        if (it.number <= lastSeen) {
            m_begun[it.index].isAcknowledged = true;
        }
        return it.number <= lastSeen;
    });
    if (json.contains("deadlineMs")) {
        extendLease(json.at("deadlineMs").get<std::int64_t>());
    }
    const auto until = Clock::now() + std::chrono::milliseconds(json.value("waitMs", 0));
    const auto born = m_born;
    while (m_ended.empty() && Clock::now() < until && !m_isClosed && m_isUp && m_born == born) {
        m_changed.wait_until(lock, until);
        update();
    }
    if (!m_isUp || m_born != born || m_isClosed) {
        Response dropped;
        dropped.isDropped = true;
        return dropped;
    }
    Json running = Json::array();
    for (const auto &[task, run] : m_running) {
        const auto &begun = m_begun[run.index];
        const bool isTimed = run.endsAt != Clock::time_point::max();
        const auto gone = std::chrono::duration<double>(Clock::now() - begun.beganAt).count();
        const auto whole = std::chrono::duration<double>(run.endsAt - begun.beganAt).count();
        const int percent = isTimed ? std::min(99, static_cast<int>(100 * gone / whole)) : 100;
        running.push_back(Json::array({task, begun.run, "", percent}));
    }
    Json ended = Json::array();
    for (const auto &it : m_ended) {
        if (ended.size() == MaxListedEnds) {
            break;
        }
        ended.push_back(Json::array({it.number, it.task, it.run, it.how, ""}));
    }
    return {200, Json{{"clockMs", clockMs()}, {"born", m_born}, {"running", running}, {"ended", ended}}.dump()};
}

Response Runner::pace(const Request &)
{
    const std::lock_guard lock(m_mutex);
    return {200, Json{{"clockMs", clockMs()}}.dump()};
}

} // namespace review
