#pragma once

#include "common/error.h"
#include "common/time.h"
#include "http/apiserver.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace monsoonspool::emulator {

// A back end for trying out and for tests. It answers with what it was sent, and
// counts what it runs, so that a test can tell whether it was given too much or
// the same thing twice.
//
// Fields of a request: Sample-Service-Ms sets its run time, Sample-Status the
// status of the answer, Sample-Answer-Bytes the size of the answer's body, and
// Sample-Id names the request in the counts.
class SampleTarget : public http::ApiHandler
{
public:
    SampleTarget(boost::asio::io_context &io, std::string name, Duration defaultService);
    ~SampleTarget() override;

    Result<void> listen(const ports::Address &address);
    ports::Address address() const;
    void stop();

    void handle(const http::ApiRequest &request, http::ApiReply reply) override;

    struct Counts
    {
        std::uint64_t requests = 0;
        int open = 0;
        int maxOpen = 0;
        std::map<std::string, int> runsById;
    };
    const Counts &counts() const
    {
        return m_counts;
    }

private:
    http::ApiResponse answer(const http::ApiRequest &request) const;

    boost::asio::io_context &m_io;
    std::string m_name;
    Duration m_defaultService;
    http::ApiServer m_server;
    Counts m_counts;
};

} // namespace monsoonspool::emulator
