#include "http/listen.h"

#include <charconv>

namespace monsoonspool::http {

namespace asio = boost::asio;

Result<asio::ip::tcp::endpoint> toEndpoint(const ports::Address &address)
{
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(address.ip, ec);
    if (ec) {
        return fail(ErrorKind::InvalidSettings, "'" + address.ip + "' is not a valid IP address");
    }
    return asio::ip::tcp::endpoint(ip, address.port);
}

Result<void> openAcceptor(asio::ip::tcp::acceptor &acceptor, const ports::Address &address)
{
    BOOST_LEAF_AUTO(endpoint, toEndpoint(address));
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        acceptor.close();
        return fail(ErrorKind::AddressInUse, formatAddress(address) + ": " + ec.message());
    }
    return {};
}

std::string formatAddress(const ports::Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

Result<ports::Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    ports::Address address;
    if (colon != std::string_view::npos) {
        address.ip = text.substr(0, colon);
        const auto port = text.substr(colon + 1);
        const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), address.port);
        boost::system::error_code ipError;
        asio::ip::make_address(address.ip, ipError);
        if (ec == std::errc() && end == port.data() + port.size() && !ipError) {
            return address;
        }
    }
    return fail(ErrorKind::InvalidArguments, "invalid address '" + std::string(text) + "': expected IP:PORT");
}

} // namespace monsoonspool::http
