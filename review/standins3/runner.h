// A stand-in of a runner, as PROTOCOL.md describes it: a sound one unless a case tells it otherwise.
#pragma once

#include "http.h"
#include "store.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

class Record;

struct RunnerOptions
{
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t milliCores = 32'000;
    std::int64_t memoryMiB = 128'000;
    int stopMs = 300; // the bound is stopGraceMs
};

// How long a task works, or nothing if it runs until it is stopped.
using WorkTime = std::function<std::optional<std::chrono::milliseconds>(const std::string &task)>;

// A run that a runner has begun.
struct Begun
{
    std::string runner;
    std::string task;
    std::uint64_t run = 0;
    std::chrono::steady_clock::time_point beganAt;
    std::chrono::steady_clock::time_point endedAt; // max() while it runs
    std::string how; // empty while it runs; "lost" if the runner crashed
    bool isAcknowledged = false;
};

class Runner
{
public:
    Runner(RunnerOptions options, Address address, Store &store, Record &record, WorkTime workTime);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    // Ends the process: what runs there is lost, and connections are reset. Its entry stays until it expires.
    void crash();
    // Starts it again under its identifier.
    void restart();

    const std::string &id() const
    {
        return m_options.id;
    }
    std::vector<Begun> begun();
    int runningCount();

private:
    using Clock = std::chrono::steady_clock;

    struct Running
    {
        std::size_t index = 0; // in m_begun
        Clock::time_point endsAt;
        std::string outcome;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t index = 0;
    };

    Response handle(const Request &request);
    Response start(const Request &request);
    Response stop(const Request &request);
    Response hold(const Request &request);
    Response pace(const Request &request);
    Response refuse(const std::string &reason) const;
    std::int64_t clockMs() const;
    void extendLease(std::int64_t deadlineMs);
    void end(const std::string &task, const std::string &how, Clock::time_point at);
    void update();
    void heartbeat();
    void writeEntry();

    RunnerOptions m_options;
    Address m_address;
    Store &m_store;
    Record &m_record;
    WorkTime m_workTime;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Clock::time_point m_startedAt;
    std::int64_t m_born = 0;
    bool m_isUp = true;
    bool m_isClosed = false;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_seq = 0;
    std::map<std::string, Running> m_running;
    std::map<std::string, std::uint64_t> m_highestRun;
    std::vector<End> m_ended;
    std::int64_t m_lastEnd = 0;
    std::vector<Begun> m_begun;
    std::thread m_timer;
    HttpServer m_server; // last, so that it ends first
};

} // namespace review
