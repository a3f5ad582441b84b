#pragma once

#include "bench/childprocess.h"
#include "common/error.h"
#include "ports/hostlist.h"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::bench {

// The crowd of each test, and the bounds that each process must keep. The smallest host gives a
// process 160 MB.
constexpr int CrowdConnections = 12;
constexpr std::size_t BytesPerConnection = 24'000'000;
constexpr std::size_t MaxResidentBytes = 160'000'000;
// The open descriptors that a process may have, and how many of them it may use.
constexpr std::size_t DescriptorLimit = 512;
constexpr std::size_t MaxDescriptors = 400;
constexpr int IdleConnections = 600;

// An address of a process, with the start of a request that has a chunked body, and an ordinary
// request with the start of its response.
struct AbusedAddress
{
    std::string name;
    ports::Address address;
    std::string chunkedHead;
    std::string ordinaryRequest;
    std::string ordinaryAnswer;
};

// A process with a limited number of descriptors, started for a test.
class AbusedProcess
{
public:
    // monsoonspoold with an in-memory platform and sample targets.
    static Result<AbusedProcess> startStandalone();
    // monsoonspool-execution whose store is at `store`.
    static Result<AbusedProcess> startExecution(const ports::Address &store);

    const std::vector<AbusedAddress> &addresses() const
    {
        return m_addresses;
    }
    pid_t pid() const
    {
        return m_process.pid();
    }

private:
    AbusedProcess(ChildProcess process, std::vector<AbusedAddress> addresses);

    ChildProcess m_process;
    std::vector<AbusedAddress> m_addresses;
};

// Reports a failure unless the process is alive and within the bounds.
void expectWithinBounds(pid_t pid);
// Reports a failure unless the ordinary request is answered.
void expectAnswered(const AbusedAddress &address);

// Sends `head`, and then `part` until `bytes` bytes are sent, the connection is closed or the
// process takes nothing for some time. Reads nothing. Returns the connected descriptor, or -1.
int sendRepeatedly(const ports::Address &address, std::string_view head, std::string_view part, std::size_t bytes);

// Runs sendRepeatedly() from a crowd at once. Closes the connections when it is destroyed.
class Crowd
{
public:
    Crowd(const ports::Address &address, const std::string &head, const std::string &part);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

private:
    std::vector<int> m_sockets;
};

// A server that answers each request with `head`, followed by `part` until `bytes` bytes
// are sent, and ignores what else it receives.
class EndlessServer
{
public:
    EndlessServer(std::string head, std::string part, std::size_t bytes);
    ~EndlessServer();
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    ports::Address address() const;
    // Waits until `n` responses have been sent as far as the client takes them.
    void awaitResponses(int n) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::bench
