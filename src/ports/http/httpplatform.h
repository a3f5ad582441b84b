#pragma once

#include "ports/hostlist.h"
#include "ports/objectstore.h"
#include "ports/tableservice.h"
#include "ports/workeragent.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace monsoonspool::ports::http {

// Client of the platform's services, which are accessed as JSON over HTTP at one address.
// Not thread-safe: used on the thread that runs `io`.
class HttpPlatform
{
public:
    HttpPlatform(boost::asio::io_context &io, Address address);
    ~HttpPlatform();
    HttpPlatform(const HttpPlatform &) = delete;
    HttpPlatform &operator=(const HttpPlatform &) = delete;

    TableService &table();
    ObjectStore &objects();
    HostList &hosts();
    WorkerAgent &workers();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::ports::http
