#include "abusedprocess.h"

#include "codec/json.h"
#include "codec/typejson.h"
#include "http/listen.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace monsoonspool::bench {

namespace {

using codec::Json;

constexpr timeval SendTimeout{2, 0};
constexpr timeval AnswerTimeout{20, 0};
constexpr std::chrono::milliseconds PollInterval{50};
constexpr int MaxPolls = 400;

sockaddr_in socketAddress(const ports::Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int openConnection(const ports::Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = socketAddress(address);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &SendTimeout, sizeof(SendTimeout));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &AnswerTimeout, sizeof(AnswerTimeout));
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

// Sends `head` and repeats `part`, in blocks of 64 KiB.
void sendEndless(int fd, std::string_view head, std::string_view part, std::size_t bytes)
{
    constexpr std::size_t blockBytes = 64 * 1024;
    std::string block;
    while (!part.empty() && block.size() < blockBytes) {
        block += part;
    }
    bool isOpen = sendAll(fd, head);
    for (std::size_t n = 0; isOpen && n < bytes && !block.empty(); n += block.size()) {
        isOpen = sendAll(fd, block);
    }
}

std::string ask(const AbusedAddress &address)
{
    const int fd = openConnection(address.address);
    if (fd < 0) {
        return "no connection";
    }
    std::string answer;
    char buf[1024];
    sendAll(fd, address.ordinaryRequest);
    while (answer.find("\r\n") == std::string::npos) {
        const auto n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            break;
        }
        answer.append(buf, static_cast<std::size_t>(n));
    }
    close(fd);
    return answer.substr(0, answer.find("\r\n"));
}

Result<void> awaitReady(const std::vector<AbusedAddress> &addresses)
{
    for (const auto &it : addresses) {
        std::string answer;
        for (int n = 0; n < MaxPolls && !answer.starts_with(it.ordinaryAnswer); ++n) {
            answer = ask(it);
            if (!answer.starts_with(it.ordinaryAnswer)) {
                std::this_thread::sleep_for(PollInterval);
            }
        }
        if (!answer.starts_with(it.ordinaryAnswer)) {
            return fail(ErrorKind::Internal, it.name + " is not ready: " + answer);
        }
    }
    return {};
}

// Starts a program with DescriptorLimit as its limit of descriptors, which it inherits.
Result<ChildProcess> startProgram(std::vector<std::string> arguments)
{
    arguments.front() = std::filesystem::canonical("/proc/self/exe").parent_path() / arguments.front();
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const auto former = limit.rlim_cur;
    limit.rlim_cur = DescriptorLimit;
    setrlimit(RLIMIT_NOFILE, &limit);
    auto process = ChildProcess::start(arguments);
    limit.rlim_cur = former;
    setrlimit(RLIMIT_NOFILE, &limit);
    return process;
}

ports::Address freeAddress()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress({"127.0.0.1", 0});
    socklen_t size = sizeof(address);
    static_cast<void>(bind(fd, reinterpret_cast<sockaddr *>(&address), size));
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return {"127.0.0.1", ntohs(address.sin_port)};
}

std::string writeSettings(const Json &settings)
{
    const auto path = std::filesystem::temp_directory_path()
        / ("monsoonspool-abuse-" + std::to_string(getpid()) + "-" + settings.at("name").get<std::string>() + ".json");
    std::ofstream(path) << codec::writeJson(settings);
    return path.string();
}

AbusedAddress describe(const std::string &name, const ports::Address &address, const std::string &path,
                       const std::string &host, const std::string &answer)
{
    return {name, address, "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n",
            "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n", "HTTP/1.1 " + answer};
}

} // namespace

AbusedProcess::AbusedProcess(ChildProcess process, std::vector<AbusedAddress> addresses)
    : m_process(std::move(process)), m_addresses(std::move(addresses))
{
}

Result<AbusedProcess> AbusedProcess::startStandalone()
{
    const ports::Address anyPort{"127.0.0.1", 0};
    const auto path = writeSettings({{"name", "standalone"},
                                     {"region", "region-1"},
                                     {"failureDomain", "domain-1"},
                                     {"guestAddress", anyPort},
                                     {"operatorAddress", anyPort},
                                     {"peerAddress", anyPort},
                                     {"limits", {{"headerBytes", 16'384}, {"bodyBytes", 262'144}}},
                                     {"log", {{"level", "error"}}}});
    BOOST_LEAF_AUTO(process, startProgram({"monsoonspoold", "--standalone", "--settings", path, "--print-addresses"}));
    BOOST_LEAF_AUTO(json, codec::parseJson(process.readLine()));
    std::filesystem::remove(path);
    std::vector<AbusedAddress> addresses{
        describe("guests", json.at("guests").get<ports::Address>(), "/", "permit-desk", "200"),
        describe("operators", json.at("operators").get<ports::Address>(), "/state?section=peers", "x", "200")};
    BOOST_LEAF_CHECK(awaitReady(addresses));
    return AbusedProcess(std::move(process), std::move(addresses));
}

Result<AbusedProcess> AbusedProcess::startExecution(const ports::Address &store)
{
    const auto clients = freeAddress();
    const auto control = freeAddress();
    const auto path = writeSettings({{"name", "execution"},
                                     {"region", "region-1"},
                                     {"failureDomain", "domain-1"},
                                     {"clientAddress", http::formatAddress(clients)},
                                     {"readyAddress", http::formatAddress(freeAddress())},
                                     {"controlAddress", http::formatAddress(control)},
                                     {"storeAddress", http::formatAddress(store)},
                                     {"processorShare", 1},
                                     {"logLinesPerSecond", 1},
                                     {"stopGraceSeconds", 5}});
    BOOST_LEAF_AUTO(process, startProgram({"monsoonspool-execution", "--settings", path}));
    // Without a store, the host has no configuration and answers its clients with 503.
    std::vector<AbusedAddress> addresses{describe("clients", clients, "/jobs/", "x", "503"),
                                         describe("control", control, "/state", "x", "200")};
    auto ready = awaitReady(addresses);
    std::filesystem::remove(path);
    BOOST_LEAF_CHECK(std::move(ready));
    return AbusedProcess(std::move(process), std::move(addresses));
}

void expectWithinBounds(pid_t pid)
{
    const auto folder = std::filesystem::path("/proc") / std::to_string(pid);
    std::ifstream status(folder / "status");
    std::size_t peakKib = 0;
    std::string state;
    std::string program;
    for (std::string word; status >> word;) {
        if (word == "Name:") {
            status >> program;
        } else if (word == "State:") {
            status >> state;
        } else if (word == "VmHWM:") {
            status >> peakKib;
        }
    }
    EXPECT_TRUE(!state.empty() && state != "Z") << "the process is dead";
    EXPECT_LE(peakKib * 1024, MaxResidentBytes);
    ::testing::Test::RecordProperty("peakKib-" + program, std::to_string(peakKib));
    std::error_code ec;
    std::size_t descriptors = 0;
    for (auto it = std::filesystem::directory_iterator(folder / "fd", ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
        ++descriptors;
    }
    EXPECT_LE(descriptors, MaxDescriptors);
}

void expectAnswered(const AbusedAddress &address)
{
    const auto answer = ask(address);
    EXPECT_TRUE(answer.starts_with(address.ordinaryAnswer)) << address.name << ": " << answer;
}

int sendRepeatedly(const ports::Address &address, std::string_view head, std::string_view part, std::size_t bytes)
{
    const int fd = openConnection(address);
    if (fd >= 0) {
        sendEndless(fd, head, part, bytes);
    }
    return fd;
}

Crowd::Crowd(const ports::Address &address, const std::string &head, const std::string &part)
    : m_sockets(CrowdConnections, -1)
{
    std::vector<std::thread> threads;
    threads.reserve(m_sockets.size());
    for (auto &it : m_sockets) {
        threads.emplace_back([&] { it = sendRepeatedly(address, head, part, BytesPerConnection); });
    }
    for (auto &it : threads) {
        it.join();
    }
}

Crowd::~Crowd()
{
    for (const int it : m_sockets) {
        close(it);
    }
}

struct EndlessServer::Private
{
    void serve(int fd)
    {
        char buf[4096];
        if (recv(fd, buf, sizeof(buf), 0) > 0) {
            sendEndless(fd, head, part, bytes);
            ++responses;
        }
        while (recv(fd, buf, sizeof(buf), 0) > 0) { }
        close(fd);
    }

    void accept()
    {
        for (int fd = ::accept(listener, nullptr, nullptr); fd >= 0; fd = ::accept(listener, nullptr, nullptr)) {
            setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &SendTimeout, sizeof(SendTimeout));
            setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &SendTimeout, sizeof(SendTimeout));
            connections.emplace_back([this, fd] { serve(fd); });
        }
    }

    std::string head;
    std::string part;
    std::size_t bytes = 0; // of each response
    int listener = -1;
    ports::Address address;
    std::atomic<int> responses{0};
    std::vector<std::thread> connections; // changed by the acceptor's thread only
    std::thread acceptor;
};

EndlessServer::EndlessServer(std::string head, std::string part, std::size_t bytes) : d(std::make_unique<Private>())
{
    d->head = std::move(head);
    d->part = std::move(part);
    d->bytes = bytes;
    d->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress({"127.0.0.1", 0});
    socklen_t size = sizeof(address);
    static_cast<void>(bind(d->listener, reinterpret_cast<sockaddr *>(&address), size));
    getsockname(d->listener, reinterpret_cast<sockaddr *>(&address), &size);
    d->address = {"127.0.0.1", ntohs(address.sin_port)};
    listen(d->listener, SOMAXCONN);
    d->acceptor = std::thread([this] { d->accept(); });
}

EndlessServer::~EndlessServer()
{
    shutdown(d->listener, SHUT_RDWR);
    d->acceptor.join();
    close(d->listener);
    for (auto &it : d->connections) {
        it.join();
    }
}

ports::Address EndlessServer::address() const
{
    return d->address;
}

void EndlessServer::awaitResponses(int n) const
{
    for (int polls = 0; polls < MaxPolls && d->responses < n; ++polls) {
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace monsoonspool::bench
