/// Stand-in for the network between two processes.

#include "StandIns/program.h"
#include "StandIns/relay.h"

#include <cstdio>
#include <fmt/core.h>

using namespace standins;

namespace {

constexpr const char *usage = R"(TCP relay that can be cut, delayed and made lossy.

Usage:
  standin-relay --listen=HOST:PORT --to=HOST:PORT --control=PORT
  standin-relay --help

Options:
  --listen=HOST:PORT   Where clients connect.
  --to=HOST:PORT       Where their bytes go.
  --control=PORT       Port on 127.0.0.1 of the control interface.
  --help               Shows this text.

The line "ready PORT" names the port that clients connect to.
POST /control {"cut":bool,"blackhole":bool,"delay_ms":N,"drop_to_client":bool,"drop_to_server":bool}
GET /counters
)";

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions("standin-relay", usage, argc, argv);
    EventLoop loop;
    Relay relay(loop, hostPortOption(options, "--listen"), hostPortOption(options, "--to"));
    HttpServer control(loop, [&](const HttpRequest &request, const ExchangePtr &exchange) {
        relay.handle(request, exchange);
    });
    std::string error = control.listen(portOption(options, "--control"));
    if (error.empty())
        error = relay.start();
    if (!error.empty())
        fail(options.program_, error);
    fmt::print("ready {}\n", relay.port());
    std::fflush(stdout);
    loop.runUntilSignal();
    return 0;
}
