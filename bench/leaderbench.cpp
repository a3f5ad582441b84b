#include "bench/leaderbench.h"

#include "bench/partclock.h"
#include "codec/cborjobs.h"
#include "daemon/asioscheduler.h"
#include "emulator/workersapi.h"
#include "execution/leaderterm.h"
#include "execution/rowlayout.h"
#include "httpworkerlink.h"
#include "logging/log.h"
#include "ports/memory/memorychangestore.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <random>
#include <thread>

namespace monsoonspool::bench {

namespace asio = boost::asio;
using codec::Json;

namespace {

const ServiceName Service("desk");
const std::string Queue = "plans";
constexpr Resources WorkerCapacity{32'000, 125 * 1024, 0};
constexpr Resources TaskNeeds{3500, 6400, 0};
constexpr Resources LastingNeeds{6400, 13'000, 0};
constexpr int WorkersPerRack = 20;
constexpr int LastingTasksPerWorker = 3;
constexpr int TasksPerLastingJob = 24;
constexpr int TasksPerJob = 40;
constexpr int TaskImages = 30;
constexpr int LastingImages = 16;
constexpr std::size_t PayloadBytes = 200;
constexpr Duration MeanRunTime = 1700ms;
constexpr Duration JobInterval = 20ms; // between the writes of new jobs
constexpr Duration WarmUp = 8s;
constexpr Duration CommitTime = 4ms;
constexpr int LogLinesPerSecond = 100;

class LoadModel : public ports::memory::TaskModel
{
public:
    ports::memory::TaskProfile profile(const jobs::TaskId &task) const override
    {
        if (task.occurrence == 0 && task.job.value % 2 == 0) {
            return {Duration(1h), false, LastingNeeds};
        }
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        return {Duration(static_cast<Duration::rep>(static_cast<double>(MeanRunTime.count()) * factor(m_random))),
                false,
                {}};
    }

private:
    mutable std::mt19937 m_random;
};

// The workers are known in advance; their rows are empty.
class FixedRegistry : public ports::Registry
{
public:
    explicit FixedRegistry(std::span<const ports::WorkerEntry> entries) : m_entries(entries)
    {
    }
    ports::RowName configurationRow() const override
    {
        return {"configuration", "", "current"};
    }
    std::string workersTable() const override
    {
        return "workers";
    }
    Result<ports::Configuration> decodeConfiguration(std::string_view) const override
    {
        return ports::Configuration();
    }
    Result<std::optional<FailureDomain>> decodeEvacuation(const ports::RowName &) const override
    {
        return std::optional<FailureDomain>();
    }
    Result<ports::WorkerEntry> decodeWorker(std::string_view key, std::string_view) const override
    {
        return *std::ranges::find(m_entries, key, [](const ports::WorkerEntry &it) { return it.id.view(); });
    }

private:
    std::span<const ports::WorkerEntry> m_entries;
};

class MeasuredScheduler : public daemon::AsioScheduler
{
public:
    MeasuredScheduler(asio::io_context &io, PartClock &clock) : AsioScheduler(io), m_clock(clock)
    {
    }
    void runAfter(Duration delay, std::function<void()> f) override
    {
        AsioScheduler::runAfter(delay, [this, f = std::move(f)] {
            const PartScope scope(m_clock, LeaderPart::Timers);
            f();
        });
    }

private:
    PartClock &m_clock;
};

class MeasuredLog : public DecisionLog
{
public:
    explicit MeasuredLog(PartClock &clock) : m_clock(clock)
    {
    }
    void record(std::string_view event, std::initializer_list<DecisionField> fields) override
    {
        const PartScope scope(m_clock, LeaderPart::Logging);
        logging::logDecision(event, fields);
    }

private:
    PartClock &m_clock;
};

struct CallCounts
{
    std::uint64_t renewals = 0;
    std::uint64_t starts = 0;
    std::uint64_t others = 0;
    std::uint64_t failed = 0;
};

class MeasuredLink : public ports::WorkerLink
{
public:
    MeasuredLink(ports::WorkerLink &link, PartClock &clock) : m_link(link), m_clock(clock)
    {
    }
    void renew(const ports::WorkerEntry &worker, const ports::LeaseOrder &order,
               ports::Handler<ports::WorkerListing> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Orders);
        ++m_counts.renewals;
        m_link.renew(worker, order, measured(std::move(handler)));
    }
    void start(const ports::WorkerEntry &worker, const ports::RunOrder &order,
               ports::Handler<ports::StartResult> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Orders);
        ++m_counts.starts;
        m_link.start(worker, order, measured(std::move(handler)));
    }
    void stop(const ports::WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
              ports::Handler<ports::Done> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Orders);
        ++m_counts.others;
        m_link.stop(worker, fence, task, run, measured(std::move(handler)));
    }
    void pace(const ports::WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run, int percent,
              ports::Handler<ports::Done> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Orders);
        ++m_counts.others;
        m_link.pace(worker, fence, task, run, percent, measured(std::move(handler)));
    }
    void closeConnections(const WorkerId &worker) override
    {
        m_link.closeConnections(worker);
    }
    const CallCounts &counts() const
    {
        return m_counts;
    }

private:
    template <typename T>
    ports::Handler<T> measured(ports::Handler<T> handler)
    {
        return [this, handler = std::move(handler)](const ports::AsyncResult<T> &result) {
            const PartScope scope(m_clock, LeaderPart::Events);
            m_counts.failed += result.isOk() ? 0 : 1;
            handler(result);
        };
    }

    ports::WorkerLink &m_link;
    PartClock &m_clock;
    CallCounts m_counts;
};

class MeasuredStore : public ports::ChangeStore
{
public:
    MeasuredStore(ports::ChangeStore &store, PartClock &clock) : m_store(store), m_clock(clock)
    {
    }
    std::size_t maxValueSize() const override
    {
        return m_store.maxValueSize();
    }
    void commit(ports::Commit commit, ports::Handler<ports::CommitResult> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Store);
        m_store.commit(std::move(commit), std::move(handler));
    }
    void scan(std::string_view table, std::string_view part, std::string_view first, std::string_view last,
              ports::Handler<ports::RowPage> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Store);
        m_store.scan(table, part, first, last, std::move(handler));
    }
    void changes(std::string_view table, std::uint64_t after, Duration wait,
                 ports::Handler<ports::RowPage> handler) override
    {
        const PartScope scope(m_clock, LeaderPart::Store);
        m_store.changes(table, after, wait, std::move(handler));
    }

private:
    ports::ChangeStore &m_store;
    PartClock &m_clock;
};

// The workers, on a thread of their own.
class WorkerThread
{
public:
    explicit WorkerThread(int count)
        : m_scheduler(m_io), m_workers(m_scheduler, m_model), m_api(m_workers), m_server(m_io, m_api)
    {
        m_workers.setAdvancesOneWorker();
        for (int n = 0; n < count; ++n) {
            ports::WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = WorkerCapacity;
            entry.rack = "r" + std::to_string(n / WorkersPerRack);
            entry.startTimeMs = 1;
            m_workers.addWorker(entry);
            m_entries.push_back(std::move(entry));
        }
    }
    ~WorkerThread()
    {
        m_io.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    WorkerThread(const WorkerThread &) = delete;
    WorkerThread &operator=(const WorkerThread &) = delete;

    Result<void> begin()
    {
        BOOST_LEAF_CHECK(m_server.listen({"127.0.0.1", 0}));
        for (auto &it : m_entries) {
            it.address = m_server.address();
        }
        m_thread = std::thread([this] { m_io.run(); });
        return {};
    }
    std::span<const ports::WorkerEntry> entries() const
    {
        return m_entries;
    }
    std::size_t violationCount()
    {
        std::promise<std::size_t> count;
        asio::post(m_io, [&] { count.set_value(m_workers.violations().size()); });
        return count.get_future().get();
    }

private:
    LoadModel m_model;
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard{m_io.get_executor()};
    daemon::AsioScheduler m_scheduler;
    ports::memory::SimulatedWorkers m_workers;
    emulator::WorkersApi m_api;
    http::ApiServer m_server;
    std::vector<ports::WorkerEntry> m_entries;
    std::thread m_thread;
};

// The leader, on the calling thread.
class Leader
{
public:
    Leader(std::span<const ports::WorkerEntry> entries, const LeaderBenchOptions &options)
        : m_options(options), m_registry(entries), m_scheduler(m_io, m_clock), m_log(m_clock), m_faults(CommitTime),
          m_memoryStore(m_rows, m_scheduler, m_faults), m_store(m_memoryStore, m_clock), m_httpLink(m_io, m_scheduler),
          m_link(m_httpLink, m_clock)
    {
        ports::Commit commit;
        commit.writes.push_back({execution::rosterOwnerRow(), {}});
        for (const auto &it : execution::jobParts()) {
            commit.writes.push_back({execution::progressOwnerRow(it), {}});
        }
        m_claimVersion = m_rows.apply(commit).version;
        for (const auto &it : entries) {
            m_rows.apply({{}, {{{m_registry.workersTable(), "", it.id.text()}, {}}}, {}});
        }
        for (int n = 0; n < static_cast<int>(entries.size()) * LastingTasksPerWorker; n += TasksPerLastingJob) {
            addLastingJob();
        }
    }

    Json run()
    {
        jobs::QueuePolicy policy;
        policy.queue = Queue;
        policy.service = Service;
        policy.stretch = 2;
        policy.targetLatency = 1s;
        m_policy = policy;
        m_term.emplace(execution::ExecutionPorts{m_store, m_link, m_scheduler, m_registry, m_codec, m_log, wallNow},
                       execution::LeaderTermStart{{1}, m_claimVersion, {}, {policy}, m_scheduler.now()},
                       execution::LeaderTerm::Hooks{[] {}, [] { return true; }});
        addJobs();
        m_io.run_for(WarmUp);
        m_clock.take();
        const auto countsBefore = m_link.counts();
        const auto runsBefore = m_term->counts();
        m_io.run_for(std::chrono::seconds(m_options.seconds));
        const auto times = m_clock.take();
        return report(times, countsBefore, runsBefore);
    }

private:
    static jobs::WallTime wallNow()
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }

    void addJob(jobs::StepSpec step, std::uint64_t key)
    {
        execution::AcceptedJob job;
        job.key = {key};
        job.policy = m_policy;
        job.spec.payload.assign(PayloadBytes, 'x');
        job.spec.steps.push_back(std::move(step));
        job.acceptedAt = wallNow();
        job.knownFence = {1};
        m_rows.apply({{},
                      {{execution::jobRow(job.key), m_codec.encode(job)},
                       {execution::progressRow(job.key), m_codec.encode(jobs::JobProgress())}},
                      {}});
    }

    void addLastingJob()
    {
        jobs::StepSpec step;
        step.count = TasksPerLastingJob;
        step.needs = LastingNeeds;
        step.isLasting = true;
        step.image = "serving-" + std::to_string(m_lastingJobs % LastingImages);
        step.tailTarget = Duration(20ms);
        addJob(std::move(step), 2 * ++m_lastingJobs);
    }

    void addJobs()
    {
        const auto elapsed = std::chrono::duration<double>(m_scheduler.now() - m_begunAt).count();
        const auto due = static_cast<int>(elapsed * m_options.startsPerSecond / TasksPerJob);
        for (; m_jobs < due; ++m_jobs) {
            jobs::StepSpec step;
            step.count = TasksPerJob;
            step.needs = TaskNeeds;
            step.estimate = MeanRunTime;
            step.usesLeftover = true;
            step.image = "task-" + std::to_string(m_jobs % TaskImages);
            addJob(std::move(step), 2 * static_cast<std::uint64_t>(m_jobs) + 1);
        }
        m_scheduler.runAfter(JobInterval, [this] {
            const PartScope scope(m_clock, LeaderPart::Store);
            addJobs();
        });
    }

    Json report(const PartClock::Times &times, const CallCounts &callsBefore,
                const execution::FleetCounts &runsBefore) const
    {
        const auto counts = m_term->counts();
        const auto done = std::max<std::uint64_t>(counts.done - runsBefore.done, 1);
        const auto runs = static_cast<double>(done);
        const auto part = [&](LeaderPart it) { return times[static_cast<std::size_t>(it)] / runs; };
        double sum = 0;
        for (const auto it : times) {
            sum += it / runs;
        }
        sum -= part(LeaderPart::Store);
        rusage usage{};
        getrusage(RUSAGE_THREAD, &usage);
        const auto &calls = m_link.counts();
        return {{"workers", m_options.workers},
                {"startsPerSecond", m_options.startsPerSecond},
                {"runsDonePerSecond", runs / m_options.seconds},
                {"microsecondsPerRun",
                 {{"all", sum},
                  {"receiving", part(LeaderPart::Receiving)},
                  {"timers and plans", part(LeaderPart::Timers)},
                  {"events", part(LeaderPart::Events)},
                  {"orders", part(LeaderPart::Orders)},
                  {"logging", part(LeaderPart::Logging)}}},
                {"systemShareOfTime",
                 static_cast<double>(usage.ru_stime.tv_sec * 1'000'000 + usage.ru_stime.tv_usec)
                     / static_cast<double>((usage.ru_stime.tv_sec + usage.ru_utime.tv_sec) * 1'000'000
                                           + usage.ru_stime.tv_usec + usage.ru_utime.tv_usec)},
                {"callsPerRun",
                 {{"renewals", static_cast<double>(calls.renewals - callsBefore.renewals) / runs},
                  {"starts", static_cast<double>(calls.starts - callsBefore.starts) / runs},
                  {"others", static_cast<double>(calls.others - callsBefore.others) / runs}}},
                {"failedCalls", calls.failed - callsBefore.failed},
                {"openJobs", counts.openJobs},
                {"lapsed", counts.lapsed},
                {"firstStartMsMedian", toMilliseconds(counts.firstStart.quantile(0.5))}};
    }

    LeaderBenchOptions m_options;
    FixedRegistry m_registry;
    PartClock m_clock;
    asio::io_context m_io{1};
    MeasuredScheduler m_scheduler;
    MeasuredLog m_log;
    ports::NoFaults m_faults;
    ports::memory::SharedRows m_rows;
    ports::memory::MemoryChangeStore m_memoryStore;
    MeasuredStore m_store;
    platform::HttpWorkerLink m_httpLink;
    MeasuredLink m_link;
    codec::CborJobs m_codec;
    jobs::QueuePolicy m_policy;
    std::uint64_t m_claimVersion = 0;
    std::uint64_t m_lastingJobs = 0;
    int m_jobs = 0;
    TimePoint m_begunAt = m_scheduler.now();
    std::optional<execution::LeaderTerm> m_term;
};

// Discards what the process writes to standard output meanwhile.
class SilencedOutput
{
public:
    SilencedOutput() : m_saved(dup(STDOUT_FILENO))
    {
        const int null = open("/dev/null", O_WRONLY | O_CLOEXEC);
        dup2(null, STDOUT_FILENO);
        close(null);
    }
    ~SilencedOutput()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
    }
    SilencedOutput(const SilencedOutput &) = delete;
    SilencedOutput &operator=(const SilencedOutput &) = delete;

private:
    int m_saved;
};

} // namespace

Result<Json> measureLeader(const LeaderBenchOptions &options)
{
    const SilencedOutput silenced;
    BOOST_LEAF_CHECK(logging::configure("info", "json", logging::Destination::StandardOutput));
    logging::setDecisionLogRate(LogLinesPerSecond);
    WorkerThread workers(options.workers);
    BOOST_LEAF_CHECK(workers.begin());
    Leader leader(workers.entries(), options);
    auto result = leader.run();
    result["violations"] = workers.violationCount();
    return result;
}

} // namespace monsoonspool::bench
