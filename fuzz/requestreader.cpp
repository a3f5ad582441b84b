#include "http/apiserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

// Fuzz target of the request reader: each input is what a client sends on one connection, after
// which it sends no more. The first byte selects where the input is cut into two segments.
namespace {

namespace asio = boost::asio;
namespace http = monsoonspool::http;
using tcp = asio::ip::tcp;

constexpr std::size_t MaxHeaderBytes = 1024;
constexpr std::size_t MaxBodyBytes = 4096;
constexpr std::size_t MaxFramingBytes = 2048;
// An idle connection, its read buffer, and a body whose string has grown by doubling.
constexpr std::size_t MaxConnectionBytes = 6 * 1024 + 2 * (MaxHeaderBytes + 4096) + 2 * MaxBodyBytes + 1024;

class CheckingHandler : public http::ApiHandler
{
public:
    void handle(const http::ApiRequest &request, http::ApiReply reply) override
    {
        if (request.body.size() > MaxBodyBytes || request.path.size() > MaxHeaderBytes) {
            std::abort();
        }
        reply({});
    }
};

class Target
{
public:
    Target() : m_server(m_io, m_handler, limits(), "fuzz"), m_client(m_io)
    {
        monsoonspool::handleFailure(
            [&]() -> monsoonspool::Result<void> {
                return m_server.listen({"127.0.0.1", 0});
            },
            [](const monsoonspool::Failure &) { std::abort(); });
    }

    void send(const std::uint8_t *data, std::size_t size)
    {
        boost::system::error_code ec;
        m_client = tcp::socket(m_io);
        m_client.connect({asio::ip::address_v4::loopback(), m_server.address().port}, ec);
        const std::size_t cut = size > 1 ? 1 + data[0] % (size - 1) : size;
        sendPart(data + 1, cut - 1);
        sendPart(data + cut, size - cut);
        m_client.shutdown(tcp::socket::shutdown_send, ec);
        // The server sees the end of the input, and ends the connection.
        while (m_server.connections().connections > 0 && m_io.run_one() > 0) {
            check();
        }
        m_client.set_option(asio::socket_base::linger(true, 0), ec);
        m_client.close(ec);
    }

private:
    static http::ApiLimits limits()
    {
        http::ApiLimits limits;
        limits.message = {MaxHeaderBytes, MaxFramingBytes};
        limits.bodyBytes = MaxBodyBytes;
        return limits;
    }
    void sendPart(const std::uint8_t *data, std::size_t size)
    {
        boost::system::error_code ec;
        asio::write(m_client, asio::buffer(data, size), ec);
        while (m_io.poll_one() > 0) {
            check();
        }
    }
    void check() const
    {
        if (m_server.connections().bufferedBytes > MaxConnectionBytes) {
            std::abort();
        }
    }

    asio::io_context m_io{1};
    CheckingHandler m_handler;
    http::ApiServer m_server;
    tcp::socket m_client;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static Target target;
    if (size > 1) {
        target.send(data, size);
    }
    return 0;
}
