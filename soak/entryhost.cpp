#include "soak/entryhost.h"

#include "codec/json.h"
#include "http/apiclient.h"
#include "http/listen.h"

#include <csignal>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <set>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace monsoonspool::soak {

namespace {

constexpr mode_t LogMode = 0600;
constexpr std::chrono::milliseconds ReadyTimeout{500};
constexpr int Ok = 200;
constexpr std::size_t MaxLogLines = 8; // in the description of an end

// Below the ports of outgoing connections, which would take a free port before a host listens on it.
constexpr int FirstPort = 20'000;
constexpr int LastPort = 32'000;

// Returns an address of 127.0.0.1 that is free at present, and that no earlier call has returned: a host
// listens on it only some time later.
ports::Address freeAddress()
{
    static std::mt19937 random{std::random_device{}()};
    static std::set<std::uint16_t> returned;
    boost::asio::io_context io;
    while (true) {
        const auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int>(FirstPort, LastPort)(random));
        if (returned.contains(port)) {
            continue;
        }
        boost::asio::ip::tcp::acceptor acceptor(io);
        const bool isFree = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(http::openAcceptor(acceptor, {"127.0.0.1", port}));
                return true;
            },
            [](const Failure &) { return false; });
        if (isFree) {
            returned.insert(port);
            return {"127.0.0.1", port};
        }
    }
}

} // namespace

EntryHost::EntryHost(EntryHostOptions options)
    : m_options(std::move(options)), m_clients(freeAddress()), m_ready(freeAddress()),
      m_settingsFile(m_options.folder + "/" + m_options.name + ".json")
{
    const codec::Json settings = {{"name", m_options.name},
                                  {"region", "region-1"},
                                  {"failureDomain", m_options.domain},
                                  {"clientAddress", http::formatAddress(m_clients)},
                                  {"readyAddress", http::formatAddress(m_ready)},
                                  {"controlAddress", http::formatAddress(freeAddress())},
                                  {"storeAddress", http::formatAddress(m_options.store)},
                                  {"processorShare", 1},
                                  {"logLinesPerSecond", 1000},
                                  {"stopGraceSeconds", 5}};
    std::ofstream(m_settingsFile) << codec::writeJson(settings);
}

EntryHost::EntryHost(EntryHost &&other) noexcept
    : m_options(std::move(other.m_options)), m_clients(std::move(other.m_clients)), m_ready(std::move(other.m_ready)),
      m_settingsFile(std::move(other.m_settingsFile)), m_pid(std::exchange(other.m_pid, -1)),
      m_waitStatus(other.m_waitStatus)
{
}

EntryHost::~EntryHost()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

Result<void> EntryHost::start()
{
    const auto log = logFile();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string settingsOption = "--settings";
    char *argv[] = {m_options.program.data(), settingsOption.data(), m_settingsFile.data(), nullptr};
    const int error = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_pid = -1;
        return fail(ErrorKind::Internal,
                    "cannot start " + m_options.program + ": " + std::generic_category().message(error));
    }
    return {};
}

void EntryHost::sendSignal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool EntryHost::reap()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        m_waitStatus = status;
    }
    return m_pid <= 0;
}

std::string EntryHost::describeEnd() const
{
    if (!m_waitStatus) {
        return {};
    }
    std::string end = WIFSIGNALED(*m_waitStatus) ? "signal " + std::to_string(WTERMSIG(*m_waitStatus))
                                                 : "exit status " + std::to_string(WEXITSTATUS(*m_waitStatus));
    std::deque<std::string> lines;
    std::ifstream log(logFile());
    for (std::string line; std::getline(log, line);) {
        lines.push_back(std::move(line));
        if (lines.size() > MaxLogLines) {
            lines.pop_front();
        }
    }
    for (const auto &it : lines) {
        end += "\n" + it;
    }
    return end;
}

std::string EntryHost::logFile() const
{
    return m_options.folder + "/" + m_options.name + ".log";
}

bool EntryHost::isReady() const
{
    return handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(answer, http::callAndWait(m_ready, {"GET", "/ready", {}, {}, ReadyTimeout}));
            return answer.status == Ok;
        },
        [](const Failure &) { return false; });
}

} // namespace monsoonspool::soak
