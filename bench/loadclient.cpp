#include "bench/loadclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace monsoonspool::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr int FirstErrorStatus = 400;

// Waits until `due`. The timer may fire late by a kernel tick; the delay is counted
// in the latency, which is measured from `due`.
void waitUntil(asio::io_context &io, TimePoint due, const asio::yield_context &yield)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(io, due);
    timer.async_wait(yield[ignored]);
}

void runConnection(asio::io_context &io, const LoadOptions &options, int index, TimePoint start, LoadStats &stats,
                   const asio::yield_context &yield)
{
    boost::system::error_code ec;
    tcp::socket socket(io);
    socket.async_connect({asio::ip::make_address(options.address.ip), options.address.port}, yield[ec]);
    if (ec) {
        ++stats.failed;
        return;
    }
    socket.set_option(tcp::no_delay(true), ec);
    bhttp::request<bhttp::string_body> request(bhttp::verb::post, "/", 11);
    request.set(bhttp::field::host, options.host);
    request.body() = std::string(options.bodyBytes, 'x');
    request.prepare_payload();
    beast::flat_buffer buffer;
    const bool isPaced = options.rate > 0;
    const auto interval
        = isPaced ? Duration(static_cast<std::int64_t>(1e6 * options.connections / options.rate)) : Duration{0};
    TimePoint due = start + interval * index / options.connections;
    const TimePoint end = start + options.duration;
    while (true) {
        if (isPaced && due > monotonicNow()) {
            waitUntil(io, due, yield);
        }
        const TimePoint begin = isPaced ? due : monotonicNow();
        if (begin >= end) {
            return;
        }
        bhttp::async_write(socket, request, yield[ec]);
        bhttp::response<bhttp::string_body> response;
        if (!ec) {
            bhttp::async_read(socket, buffer, response, yield[ec]);
        }
        if (ec || response.result_int() >= FirstErrorStatus) {
            ++stats.failed;
            if (ec) {
                return;
            }
        } else {
            ++stats.answered;
            stats.latency.add(monotonicNow() - begin);
        }
        due += interval;
    }
}

} // namespace

double LoadStats::answersPerSecond() const
{
    return elapsed.count() == 0 ? 0 : static_cast<double>(answered) * 1e6 / static_cast<double>(elapsed.count());
}

LoadStats runLoad(const LoadOptions &options)
{
    asio::io_context io{1};
    LoadStats stats;
    const TimePoint start = monotonicNow();
    for (int n = 0; n < options.connections; ++n) {
        asio::spawn(
            io, [&, n](const asio::yield_context &yield) { runConnection(io, options, n, start, stats, yield); },
            [](const std::exception_ptr &) {});
    }
    io.run();
    stats.elapsed = monotonicNow() - start;
    return stats;
}

} // namespace monsoonspool::bench
