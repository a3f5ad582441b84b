#pragma once

#include "common/error.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace monsoonspool::bench {

// A child process of a test or an experiment. The destructor kills it.
class ChildProcess
{
public:
    // Starts `arguments[0]`; readLine() reads its standard output.
    // Fails with Internal.
    static Result<ChildProcess> start(const std::vector<std::string> &arguments);

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess();

    // Returns the next line of the standard output, empty at its end.
    std::string readLine();

    void sendSignal(int number) const;

    // Waits for the process to exit. Returns its exit status, or -1 if a signal
    // terminated it.
    int wait();

    pid_t pid() const
    {
        return m_pid;
    }

private:
    ChildProcess(pid_t pid, int outputFd) : m_pid(pid), m_outputFd(outputFd)
    {
    }
    void killAndReap();

    pid_t m_pid = -1;
    int m_outputFd = -1;
};

} // namespace monsoonspool::bench
