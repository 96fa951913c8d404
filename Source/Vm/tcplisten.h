#pragma once

/// Opening a listening socket at an address from the settings. Includes Boost.Asio: for the sources
/// that serve HTTP only.

#include <eelgrasscove/result.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace eelgrasscove {

/// Why an address can't be listened on.
struct ListenError
{
    std::string message_;
};

/// Opens the acceptor at "IP:PORT".
Result<Done, ListenError> listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                                   const std::string &address);

} // namespace eelgrasscove
