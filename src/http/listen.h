#pragma once

#include "common/error.h"
#include "ports/hostlist.h"

#include <boost/asio/ip/tcp.hpp>

namespace monsoonspool::http {

// Converts `address` to an endpoint. Fails with InvalidSettings if its IP address is
// not valid.
Result<boost::asio::ip::tcp::endpoint> toEndpoint(const ports::Address &address);

// Opens `acceptor`, binds it to `address` and starts listening. Fails with
// InvalidSettings if the IP address is not valid, otherwise with AddressInUse.
Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const ports::Address &address);

// Formats `address` as "IP:PORT".
std::string formatAddress(const ports::Address &address);

// Parses "IP:PORT". Fails with InvalidArguments.
Result<ports::Address> parseAddress(std::string_view text);

} // namespace monsoonspool::http
