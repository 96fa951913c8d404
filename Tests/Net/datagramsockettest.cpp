#include "Net/datagramsocket.h"
#include "../Shared/servingstandins.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace standins;

BOOST_AUTO_TEST_SUITE(datagramsocket)

BOOST_AUTO_TEST_CASE(datagrams_arriving_as_fast_as_they_are_read_do_not_hold_up_timers)
{
    auto &loop = *new EventLoop;
    auto &receiver = *new DatagramSocket;
    const Endpoint address{"127.0.0.1", 17311};
    const int sender = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto sendOne = [sender] {
        sockaddr_in to{};
        uv_ip4_addr("127.0.0.1", 17311, &to);
        sendto(sender, "x", 1, 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    };
    constexpr int total = 4000;
    constexpr Duration processingTime = 100us;
    int received = 0;
    int ticks = 0;
    int ticksWhileArriving = 0;
    // Each datagram is followed by another while it is processed, until the total.
    BOOST_REQUIRE(receiver.open(
                      loop, address,
                      [&](auto, const auto &) {
                          const Time end = bootNow() + processingTime;
                          while (bootNow() < end) { }
                          if (++received < total)
                              sendOne();
                          else if (received == total)
                              ticksWhileArriving = ticks;
                      },
                      10ms)
                  == 0);
    loop.timers().every(10ms, [&] { ++ticks; });
    for (int datagram = 0; datagram < 64; ++datagram)
        sendOne();
    BOOST_TEST(turnUntil(loop, 5s, [&] { return received >= total; }));
    BOOST_TEST(ticksWhileArriving >= 10);
    close(sender);
}

BOOST_AUTO_TEST_SUITE_END()
