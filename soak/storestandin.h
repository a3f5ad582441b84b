#pragma once

#include "common/time.h"
#include "http/apiserver.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string_view>

namespace monsoonspool::soak {

// A stand-in of the platform's store, with conditional transactions and change feeds.
// Not thread-safe: `io` must be run by one thread, which also makes all calls.
class StoreStandIn : public http::ApiHandler
{
public:
    // Answers calls other than feeds after `delay`.
    StoreStandIn(boost::asio::io_context &io, Duration delay);
    ~StoreStandIn() override;
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    void handle(const http::ApiRequest &request, http::ApiReply reply) override;

    // Writes a row with an empty part as the operator or a worker does.
    void write(std::string_view table, std::string_view key, std::string_view value);

    // Answers no call any more, nor those that wait.
    void silence();

    // Answers the feeds that have waited long enough. Call every few milliseconds.
    void advance(TimePoint now);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::soak
