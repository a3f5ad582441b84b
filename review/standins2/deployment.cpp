#include "deployment.h"

namespace review {

namespace {

constexpr int HostCount = 3;
constexpr milliseconds ClientDeadline{3000};
constexpr milliseconds ReadyTimeout{15'000};
constexpr milliseconds RetryPause{100};
constexpr int MaxAttempts = 5;

const std::string QueueHost = "workshop.example";
const std::string Prefix = "/plans/";

} // namespace

Deployment::Deployment(const CaseOptions &options) : m_options(options), m_record(options.record), m_store(m_io)
{
}

Runner &Deployment::addRunner(RunnerOptions options)
{
    m_runners.push_back(std::make_unique<Runner>(m_io, std::move(options), m_store, m_record, m_starts));
    return *m_runners.back();
}

asio::awaitable<bool> Deployment::start()
{
    m_store.start();
    m_store.write("op", "config",
                  R"({"version":1,"routes":[{"name":"plans","host":")" + QueueHost + R"(","pathPrefix":")" + Prefix
                      + R"(","service":"desk","timeoutMs":3000,"priority":1,"maxAttempts":3,)"
                        R"("stretch":2,"targetLatencyMs":1000}],)"
                        R"("services":[{"name":"desk","admissionCheck":false}],"limits":{}})");
    for (const auto &it : m_runners) {
        it->start();
    }
    for (int n = 0; n < HostCount; ++n) {
        const auto number = std::to_string(n + 1);
        m_hosts.push_back(std::make_unique<Host>(m_io,
                                                 HostOptions{m_options.program, m_options.folder, "front-" + number,
                                                             "zone-" + number, "region-1", m_store.port()}));
        m_hosts.back()->start();
        m_record.line("host " + m_hosts.back()->name() + " starts");
    }
    const auto until = Clock::now() + ReadyTimeout;
    for (const auto &it : m_hosts) {
        while (true) {
            const auto answer = co_await call(it->ready(), "GET", "/ready", "ready", "", ClientDeadline);
            if (answer.status == 200) {
                break;
            }
            if (Clock::now() > until) {
                m_record.line("host " + it->name() + " is not ready");
                co_return false;
            }
            co_await pause(RetryPause);
        }
    }
    m_record.line("all hosts are ready");
    co_return true;
}

asio::awaitable<int> Deployment::submit(std::string id, std::string body)
{
    int status = 0;
    for (int n = 0; n < MaxAttempts; ++n) {
        const auto &host = *m_hosts[m_nextHost++ % m_hosts.size()];
        const auto answer = co_await call(host.clients(), "POST", Prefix + id, QueueHost, body, ClientDeadline);
        status = answer.status;
        m_record.line("POST " + id + " at " + host.name() + " " + body + " -> " + std::to_string(status));
        if (status >= 200 && status < 300) {
            break;
        }
        co_await pause(RetryPause);
    }
    co_return status;
}

asio::awaitable<std::string> Deployment::state(std::string id, std::size_t host)
{
    const auto answer = co_await call(m_hosts[host]->clients(), "GET", Prefix + id, QueueHost, "", ClientDeadline);
    if (answer.status != 200) {
        co_return std::to_string(answer.status);
    }
    co_return nlohmann::json::parse(answer.body).at("state").get<std::string>();
}

asio::awaitable<int> Deployment::cancel(std::string id, std::size_t host)
{
    const auto answer = co_await call(m_hosts[host]->clients(), "DELETE", Prefix + id, QueueHost, "", ClientDeadline);
    m_record.line("DELETE " + id + " at " + m_hosts[host]->name() + " -> " + std::to_string(answer.status));
    co_return answer.status;
}

} // namespace review
