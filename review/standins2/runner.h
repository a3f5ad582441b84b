#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

struct RunnerOptions
{
    std::string id;
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    int cpu = 32'000; // thousandths of a core
    int memMb = 128'000;
};

struct Start
{
    double at = 0;
    std::string runner;
    std::string kind; // of the process that began the run
    std::string task;
    long long run = 0;
};

// A runner that takes what it is told to start (`admissionCheck` false). How long a task runs stands in
// its `spec`: "ms=N ...".
class Runner
{
public:
    Runner(asio::io_context &io, RunnerOptions options, Store &store, Record &record, std::vector<Start> &starts);

    // Starts a process of the runner: it answers, and writes its entry if it reaches the store.
    void start();
    // Ends the process.
    void crash();
    // The next process is of another kind.
    void setKind(const std::string &kind)
    {
        m_options.kind = kind;
    }
    // While it is cut off from the store, its heartbeats don't arrive there.
    void cutFromStore(bool isCut)
    {
        m_isCut = isCut;
    }
    bool isUp() const
    {
        return m_isUp;
    }
    const RunnerOptions &options() const
    {
        return m_options;
    }
    std::size_t runCount() const
    {
        return m_running.size();
    }

private:
    using Json = nlohmann::json;
    struct Run
    {
        Clock::time_point startedAt;
        Clock::time_point endsAt;
        std::optional<Clock::time_point> stopsAt;
    };
    struct End
    {
        long long number = 0;
        std::string task;
        long long run = 0;
        std::string how;
    };
    using Key = std::pair<std::string, long long>;

    asio::awaitable<Response> handle(const Request &request);
    asio::awaitable<Response> hold(Json order);
    Response begin(const Json &order);
    Response stop(const Json &order);
    Response answer(int status, const std::string &reason = {}) const;
    Response listing() const;
    void extendLease(const Json &order);
    void advance();
    asio::awaitable<void> beat();
    asio::awaitable<void> work();
    long long clockMs() const;
    std::string entry() const;

    asio::io_context &m_io;
    RunnerOptions m_options;
    Store &m_store;
    Record &m_record;
    std::vector<Start> &m_starts;
    unsigned short m_port;
    Server m_server;
    bool m_isUp = false;
    bool m_isCut = false;
    bool m_areLoopsRunning = false;
    long long m_born = 0; // Unix milliseconds
    Clock::time_point m_startedAt;
    Clock::time_point m_heardAt; // last heartbeat that reached the store
    std::string m_written; // entry in the store, empty if there is none
    long long m_fence = 0;
    long long m_lease = 0; // on the runner's clock
    long long m_lastEnd = 0;
    std::map<Key, Run> m_running;
    std::map<std::string, long long> m_highestEnded; // run by task
    std::vector<End> m_ends;
};

} // namespace review
