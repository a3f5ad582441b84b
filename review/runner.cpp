// A stand-in of a runner (PROTOCOL.md, "Running tasks"). The text of a job's spec tells how its
// tasks behave: "ms=N" is how long they work, "lasts" that they run until they are stopped.
#include "standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace standin {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::int64_t HoldMaxMs = 10'000;
constexpr std::int64_t StopMs = 100;
constexpr std::size_t MaxListedEnds = 500;
constexpr auto BeatInterval = milliseconds(1500);

struct Run
{
    std::int64_t number = 0;
    std::int64_t startedMs = 0;
    std::int64_t workMs = 0;
    bool lasts = false;
    std::int64_t stopAtMs = 0; // 0 unless it is being stopped
};

struct End
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
};

class Runner
{
public:
    explicit Runner(RunnerOptions options)
        : m_options(std::move(options)), m_startedAt(Clock::now()),
          m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }

    void beat()
    {
        while (true) {
            const Json entry = {{"service", m_options.service},
                                {"address", "127.0.0.1:" + std::to_string(m_options.port)},
                                {"zone", m_options.zone},
                                {"version", "v1"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"coldRemainingMs", 0},
                                {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
                                {"labels", {m_options.kind, m_options.rack}},
                                {"born", m_born}};
            const Json write
                = {{"table", "servers"}, {"key", m_options.id}, {"value", toBase64(entry.dump())}, {"isBeat", true}};
            call(m_options.storePort, "POST", "/stand-in/write", {}, write.dump(), 1000);
            std::this_thread::sleep_for(BeatInterval);
        }
    }

    // Ends what is done, stopped or lapsed.
    void work()
    {
        while (true) {
            std::this_thread::sleep_for(milliseconds(5));
            const std::scoped_lock lock(m_mutex);
            const auto now = clockMs();
            for (auto it = m_running.begin(); it != m_running.end();) {
                const auto &run = it->second;
                const char *how = nullptr;
                if (run.stopAtMs != 0 && now >= run.stopAtMs) {
                    how = "stopped";
                } else if (!run.lasts && now >= run.startedMs + run.workMs) {
                    how = "done";
                } else if (now > m_deadline) {
                    how = "lapsed";
                }
                if (how == nullptr) {
                    ++it;
                    continue;
                }
                finish(it->first, run.number, how);
                it = m_running.erase(it);
            }
        }
    }

    Response handle(const Request &request)
    {
        const auto instance = request.fields.find("expect-instance");
        if (instance != request.fields.end() && instance->second != m_options.id) {
            return {421, "{}"};
        }
        if (request.method == "GET") {
            return {200, "{}"};
        }
        const auto json = Json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            return {400, "{}"};
        }
        std::unique_lock lock(m_mutex);
        const auto fence = json.value("fence", std::int64_t(0));
        if (fence < m_fence) {
            return {409, Json{{"clockMs", clockMs()}, {"reason", "fence"}}.dump()};
        }
        m_fence = fence;
        if (request.path == "/hold") {
            return hold(json, lock);
        }
        if (request.path == "/run-start") {
            return start(json);
        }
        if (request.path == "/run-stop") {
            return stop(json);
        }
        return {request.path == "/pace" ? 200 : 404, Json{{"clockMs", clockMs()}}.dump()};
    }

private:
    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count() + 1;
    }

    void finish(const std::string &task, std::int64_t run, const char *how)
    {
        m_ended.push_back({++m_lastEnd, task, run, how});
        auto &highest = m_highestEnded[task];
        highest = std::max(highest, run);
        appendLine(m_options.record,
                   "runner " + m_options.id + " ended " + task + " run " + std::to_string(run) + " " + how);
        m_changed.notify_all();
    }

    void extend(const Json &json)
    {
        const auto deadline = json.value("deadlineMs", std::int64_t(0));
        m_deadline = std::max(m_deadline, std::min(deadline, clockMs() + HoldMaxMs));
    }

    Response hold(const Json &json, std::unique_lock<std::mutex> &lock)
    {
        const auto lastSeen = json.value("lastSeen", std::int64_t(0));
        std::erase_if(m_ended, [&](const End &it) { return it.number <= lastSeen; });
        extend(json);
        const auto wait = milliseconds(std::min(json.value("waitMs", 0), 2000));
        m_changed.wait_for(lock, wait, [&] { return !m_ended.empty(); });
        Json running = Json::array();
        for (const auto &[task, run] : m_running) {
            const auto percent
                = run.lasts ? 100 : std::min<std::int64_t>((clockMs() - run.startedMs) * 100 / run.workMs, 99);
            running.push_back({task, run.number, "", percent, 1});
        }
        Json ended = Json::array();
        for (const auto &it : m_ended) {
            if (ended.size() < MaxListedEnds) {
                ended.push_back({it.number, it.task, it.run, it.how, ""});
            }
        }
        return {200, Json{{"clockMs", clockMs()}, {"born", m_born}, {"running", running}, {"ended", ended}}.dump()};
    }

    Response reject(const char *reason) const
    {
        return {409, Json{{"clockMs", clockMs()}, {"reason", reason}}.dump()};
    }

    Response start(const Json &json)
    {
        const std::string task = json.at("task");
        const std::int64_t number = json.at("run");
        const std::string spec = json.value("spec", "");
        const auto it = m_running.find(task);
        if (it != m_running.end() && it->second.number == number) {
            return {200, Json{{"clockMs", clockMs()}}.dump()};
        }
        const auto ended = m_highestEnded.find(task);
        if (ended != m_highestEnded.end() && number <= ended->second) {
            extend(json);
            return reject("old");
        }
        if (json.value("deadlineMs", std::int64_t(0)) < clockMs()) {
            return reject("late");
        }
        extend(json);
        Run run;
        run.number = number;
        run.startedMs = clockMs();
        run.lasts = spec.find("lasts") != std::string::npos;
        const auto work = spec.find("ms=");
        run.workMs = work == std::string::npos ? 1000 : std::max(1, std::atoi(spec.c_str() + work + 3));
        m_running[task] = run;
        appendLine(m_options.record,
                   "runner " + m_options.id + " started " + task + " run " + std::to_string(number) + " kind "
                       + m_options.kind);
        return {200, Json{{"clockMs", clockMs()}}.dump()};
    }

    Response stop(const Json &json)
    {
        const std::string task = json.at("task");
        const std::int64_t number = json.at("run");
        const auto it = m_running.find(task);
        if (it != m_running.end() && it->second.number <= number && it->second.stopAtMs == 0) {
            it->second.stopAtMs = clockMs() + StopMs;
        }
        auto &highest = m_highestEnded[task];
        highest = std::max(highest, number);
        return {200, Json{{"clockMs", clockMs()}}.dump()};
    }

    const RunnerOptions m_options;
    const Clock::time_point m_startedAt;
    const std::int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_running; // by task
    std::map<std::string, std::int64_t> m_highestEnded; // run numbers by task
    std::deque<End> m_ended;
};

} // namespace

void runRunner(const RunnerOptions &options)
{
    static Runner runner(options);
    std::thread([] { runner.beat(); }).detach();
    std::thread([] { runner.work(); }).detach();
    serve(options.port, [](const Request &request) { return runner.handle(request); });
}

void appendLine(const std::string &file, const std::string &line)
{
    const auto now
        = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::ofstream(file, std::ios::app) << std::to_string(now) + " " + line + "\n" << std::flush;
}

std::string toBase64(const std::string &bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8) | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += n + k > bytes.size() ? '=' : digits[(group >> (18 - 6 * k)) & 63];
        }
    }
    return out;
}

} // namespace standin
