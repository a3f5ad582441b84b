#pragma once

#include "ports/hostlist.h"
#include "ports/objectstore.h"
#include "ports/tableservice.h"
#include "ports/workeragent.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace monsoonspool::ports::http {

// The platform's services by HTTP and JSON, all at one address.
// Lives on one io_context, which one thread runs.
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
