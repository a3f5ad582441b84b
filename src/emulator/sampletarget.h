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

// An echo back end for demonstrations and tests. It counts the requests that it runs, so
// that a test can detect too many concurrent requests and duplicate executions.
//
// Header fields of a request: Sample-Service-Ms sets its run time, Sample-Status the
// status of the response, Sample-Answer-Bytes the size of the response body, and
// Sample-Id identifies the request in the counts.
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
