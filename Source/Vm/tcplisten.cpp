#include "Vm/tcplisten.h"

#include <cstdlib>

namespace eelgrasscove {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

Result<Done, ListenError> listenOn(tcp::acceptor &acceptor, const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    ErrorCode error;
    const auto host = boost::asio::ip::make_address(address.substr(0, colon), error);
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (error || port <= 0)
        return ListenError{"can't listen on '" + address + "': not IP:PORT"};
    const tcp::endpoint endpoint(host, static_cast<unsigned short>(port));
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return ListenError{"can't listen on " + address + ": " + error.message()};
    return Done{};
}

} // namespace eelgrasscove
