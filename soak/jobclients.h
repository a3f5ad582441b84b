#pragma once

#include "ports/hostlist.h"
#include "soak/history.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <span>

namespace monsoonspool::soak {

// The queue to which the clients of a soak submit their jobs.
inline constexpr std::string_view QueueHost = "soak.example";
inline constexpr std::string_view QueuePrefix = "/soak/";

struct ClientOptions
{
    int clients = 6; // each has one job at a time
    std::uint64_t seed = 1;
};

struct ClientCounts
{
    long long submitted = 0;
    long long unanswered = 0; // attempts to submit without a response
    long long completed = 0;
};

// Clients that submit jobs at any host, retry after no answer, and ask for the state until a job
// has ended. Not thread-safe: `io` must be run by one thread, which also makes all calls.
class JobClients
{
public:
    JobClients(boost::asio::io_context &io, std::span<const ports::Address> hosts, const ClientOptions &options,
               Recorder &recorder);
    ~JobClients();
    JobClients(const JobClients &) = delete;
    JobClients &operator=(const JobClients &) = delete;

    void start();

    // Submits no more jobs. Jobs that were submitted are followed to their end.
    void finish();

    // Returns whether all jobs have ended after finish().
    bool isIdle() const;

    const ClientCounts &counts() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::soak
