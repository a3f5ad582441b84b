#include "runner.h"

#include <algorithm>

namespace review {

namespace {

constexpr milliseconds HeartbeatInterval{1500};
constexpr milliseconds EntryLifetime = 3 * HeartbeatInterval;
constexpr long long MaxLeaseMs = 10'000; // holdMaxMs
constexpr milliseconds StopTime{100}; // stopGraceMs is 900
constexpr milliseconds CheckInterval{5};
constexpr int MaxWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;

milliseconds runTimeOf(const std::string &spec)
{
    return milliseconds(spec.starts_with("ms=") ? std::stoi(spec.substr(3)) : 500);
}

} // namespace

Runner::Runner(asio::io_context &io, RunnerOptions options, Store &store, Record &record, std::vector<Start> &starts)
    : m_io(io), m_options(std::move(options)), m_store(store), m_record(record), m_starts(starts), m_port(freePort(io)),
      m_server(io, m_port, [this](const Request &it) -> asio::awaitable<Response> { return handle(it); })
{
}

void Runner::start()
{
    m_startedAt = Clock::now();
    m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_fence = 0;
    m_lease = 0;
    m_lastEnd = 0;
    m_running.clear();
    m_highestEnded.clear();
    m_ends.clear();
    m_isUp = true;
    m_record.line("runner " + m_options.id + " starts, kind " + m_options.kind + ", port " + std::to_string(m_port));
    m_server.start();
    if (!std::exchange(m_areLoopsRunning, true)) {
        asio::co_spawn(m_io, beat(), asio::detached);
        asio::co_spawn(m_io, work(), asio::detached);
    }
}

void Runner::crash()
{
    m_record.line("runner " + m_options.id + " crashes with " + std::to_string(m_running.size()) + " runs");
    m_isUp = false;
    m_server.stop();
    m_running.clear();
    m_ends.clear();
}

long long Runner::clockMs() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count() + 1;
}

std::string Runner::entry() const
{
    return Json{{"service", m_options.service},
                {"address", "127.0.0.1:" + std::to_string(m_port)},
                {"zone", m_options.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"seq", 1},
                {"capacity", {{"cpu", m_options.cpu}, {"memMb", m_options.memMb}, {"gpu", 0}}},
                {"labels", {m_options.kind, m_options.rack}},
                {"born", m_born}}
        .dump();
}

asio::awaitable<void> Runner::beat()
{
    auto dueAt = Clock::now();
    auto beatOf = m_born;
    while (true) {
        const auto now = Clock::now();
        if (m_isUp && !m_isCut && (now >= dueAt || beatOf != m_born)) {
            dueAt = now + HeartbeatInterval;
            beatOf = m_born;
            m_heardAt = now;
            if (const auto value = entry(); value != m_written) {
                m_written = value;
                m_store.write("servers", m_options.id, value);
                m_record.line("store: entry of " + m_options.id + " written, kind " + m_options.kind);
            }
        }
        if (!m_written.empty() && now - m_heardAt > EntryLifetime) {
            m_written.clear();
            m_store.remove("servers", m_options.id);
            m_record.line("store: entry of " + m_options.id + " removed after " + std::to_string(EntryLifetime.count())
                          + " ms of silence");
        }
        co_await pause(CheckInterval);
    }
}

asio::awaitable<void> Runner::work()
{
    while (true) {
        advance();
        co_await pause(CheckInterval);
    }
}

void Runner::advance()
{
    const auto now = Clock::now();
    for (auto it = m_running.begin(); it != m_running.end();) {
        std::string how;
        if (it->second.stopsAt && now >= *it->second.stopsAt) {
            how = "stopped";
        } else if (now >= it->second.endsAt) {
            how = "done";
        } else if (clockMs() > m_lease) {
            how = "lapsed";
        }
        if (how.empty()) {
            ++it;
            continue;
        }
        const auto &[task, run] = it->first;
        m_ends.push_back({++m_lastEnd, task, run, how});
        auto &highest = m_highestEnded[task];
        highest = std::max(highest, run);
        m_record.line("end " + task + " run " + std::to_string(run) + " on " + m_options.id + ": " + how);
        it = m_running.erase(it);
    }
}

asio::awaitable<Response> Runner::handle(const Request &request)
{
    const std::string target(request.target());
    if (const auto instance = request["Expect-Instance"]; !instance.empty() && instance != m_options.id) {
        co_return Response{421, "{}"};
    }
    const auto order = Json::parse(request.body());
    const auto fence = order.value("fence", 0LL);
    if (fence < m_fence) {
        co_return answer(409, "fence");
    }
    m_fence = fence;
    if (target == "/hold") {
        co_return co_await hold(order);
    }
    if (target == "/run-start") {
        co_return begin(order);
    }
    co_return target == "/run-stop" ? stop(order) : answer(200);
}

void Runner::extendLease(const Json &order)
{
    m_lease = std::max(m_lease, std::min(order.value("deadlineMs", 0LL), clockMs() + MaxLeaseMs));
}

Response Runner::answer(int status, const std::string &reason) const
{
    Json json{{"clockMs", clockMs()}};
    if (!reason.empty()) {
        json["reason"] = reason;
    }
    return {status, json.dump()};
}

Response Runner::begin(const Json &order)
{
    const Key key(order.at("task").get<std::string>(), order.at("run").get<long long>());
    if (m_running.contains(key)) {
        return answer(200);
    }
    if (const auto it = m_highestEnded.find(key.first); it != m_highestEnded.end() && key.second <= it->second) {
        extendLease(order);
        return answer(409, "old");
    }
    if (order.value("deadlineMs", 0LL) < clockMs()) {
        return answer(409, "late");
    }
    extendLease(order);
    const auto now = Clock::now();
    m_running[key] = {now, now + runTimeOf(order.at("spec").get<std::string>()), std::nullopt};
    m_starts.push_back({m_record.seconds(), m_options.id, m_options.kind, key.first, key.second});
    m_record.line("start " + key.first + " run " + std::to_string(key.second) + " on " + m_options.id + ", kind "
                  + m_options.kind + ", fence " + std::to_string(m_fence));
    return answer(200);
}

Response Runner::stop(const Json &order)
{
    const auto task = order.at("task").get<std::string>();
    const auto run = order.at("run").get<long long>();
    for (auto &[key, it] : m_running) {
        if (key.first == task && key.second <= run && !it.stopsAt) {
            it.stopsAt = Clock::now() + StopTime;
        }
    }
    auto &highest = m_highestEnded[task];
    highest = std::max(highest, run);
    return answer(200);
}

asio::awaitable<Response> Runner::hold(Json order)
{
    const auto lastSeen = order.value("lastSeen", 0LL);
    std::erase_if(m_ends, [&](const End &it) { return it.number <= lastSeen; });
    extendLease(order);
    const auto until = Clock::now() + milliseconds(std::clamp(order.value("waitMs", 0), 0, MaxWaitMs));
    const auto born = m_born;
    while (m_ends.empty() && Clock::now() < until && m_born == born) {
        co_await pause(CheckInterval);
    }
    co_return listing();
}

Response Runner::listing() const
{
    Json running = Json::array();
    for (const auto &[key, it] : m_running) {
        const auto percent = std::min<long long>(100 * (Clock::now() - it.startedAt) / (it.endsAt - it.startedAt), 99);
        running.push_back({key.first, key.second, "", percent, 1000});
    }
    Json ended = Json::array();
    for (const auto &it : m_ends) {
        if (ended.size() < MaxListedEnds) {
            ended.push_back({it.number, it.task, it.run, it.how, ""});
        }
    }
    return {200, Json{{"clockMs", clockMs()}, {"born", m_born}, {"running", running}, {"ended", ended}}.dump()};
}

} // namespace review
