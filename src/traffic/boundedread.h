#pragma once

#include "http/connectionlimits.h"

#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>

namespace monsoonspool::traffic {

// Reads the next part of a message's body into `data`, until `size` bytes are read or the message
// ends. Returns the number of bytes. Fails with buffer_overflow if the chunk lines or trailers
// exceed the limits of `meter` or the maximum size of `buffer`.
template <typename Parser>
std::size_t readBody(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, Parser &parser,
                     http::FramingMeter &meter, char *data, std::size_t size, boost::beast::error_code &ec,
                     const boost::asio::yield_context &yield)
{
    namespace bhttp = boost::beast::http;
    auto &destination = parser.get().body();
    destination.data = data;
    destination.size = size;
    ec = {};
    while (!ec && !parser.is_done() && destination.size > 0) {
        const auto before = destination.size;
        const auto n = bhttp::async_read_some(stream, buffer, parser, yield[ec]);
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        if (!ec && !meter.note(n, before - destination.size)) {
            ec = bhttp::error::buffer_overflow;
        }
    }
    return size - destination.size;
}

} // namespace monsoonspool::traffic
