#include "bench/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace monsoonspool::bench {

Result<ChildProcess> ChildProcess::start(const std::vector<std::string> &arguments)
{
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
        return fail(ErrorKind::Internal, "cannot create a pipe for the output of " + arguments.front());
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto &it : arguments) {
        argv.push_back(const_cast<char *>(it.c_str()));
    }
    argv.push_back(nullptr);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    if (error != 0) {
        close(pipeEnds[0]);
        return fail(ErrorKind::Internal,
                    "cannot start " + arguments.front() + ": " + std::generic_category().message(error));
    }
    return ChildProcess(pid, pipeEnds[0]);
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_outputFd(std::exchange(other.m_outputFd, -1))
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        killAndReap();
        m_pid = std::exchange(other.m_pid, -1);
        m_outputFd = std::exchange(other.m_outputFd, -1);
    }
    return *this;
}

ChildProcess::~ChildProcess()
{
    killAndReap();
}

void ChildProcess::killAndReap()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        wait();
    }
    if (m_outputFd >= 0) {
        close(m_outputFd);
        m_outputFd = -1;
    }
}

std::string ChildProcess::readLine()
{
    std::string line;
    char c = 0;
    while (read(m_outputFd, &c, 1) == 1 && c != '\n') {
        line += c;
    }
    return line;
}

void ChildProcess::sendSignal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

int ChildProcess::wait()
{
    if (m_pid <= 0) {
        return -1;
    }
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace monsoonspool::bench
