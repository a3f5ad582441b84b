#pragma once

#include "common/error.h"
#include "ports/hostlist.h"

#include <boost/asio/ip/tcp.hpp>

namespace monsoonspool::http {

// Returns the endpoint of `address`. Fails with InvalidSettings if its IP number
// is none.
Result<boost::asio::ip::tcp::endpoint> endpointOf(const ports::Address &address);

// Opens, binds and listens. Fails with AddressInUse or InvalidSettings.
Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const ports::Address &address);

// Returns `address` as "IP:PORT".
std::string addressText(const ports::Address &address);

// Parses "IP:PORT". Fails with InvalidArguments.
Result<ports::Address> parseAddress(std::string_view text);

} // namespace monsoonspool::http
