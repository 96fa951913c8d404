#pragma once

/// A caller on loopback that writes and reads plain bytes, for tests of what HTTP clients hide.

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasscove {

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A port that nobody listens on just now.
inline std::uint16_t freePort()
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof(address);
    auto *plain = reinterpret_cast<sockaddr *>(&address);
    BOOST_REQUIRE(::bind(handle, plain, length) == 0);
    BOOST_REQUIRE(::getsockname(handle, plain, &length) == 0);
    ::close(handle);
    return ntohs(address.sin_port);
}

/// A caller that writes what it likes.
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port) : handle_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in address = loopback(port);
        BOOST_REQUIRE(
            ::connect(handle_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    }
    ~RawCaller() { ::close(handle_); }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /// All that comes until the server closes, or until the text has come.
    std::string receive(std::string_view until = {}) const
    {
        std::string all;
        char part[4096];
        while (until.empty() || all.find(until) == std::string::npos) {
            const auto got = ::recv(handle_, part, sizeof(part), 0);
            if (got < 0)
                all += "<reset>";
            if (got <= 0)
                break;
            all.append(part, static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    int handle_;
};

/// A header of an answer; empty where it is absent.
inline std::string headerOf(const std::string &answer, const std::string &name)
{
    const std::string head = answer.substr(0, answer.find("\r\n\r\n"));
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace eelgrasscove
