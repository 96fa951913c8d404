/// Stand-in for the platform: its key-value service and its list of VMs.

#include "StandIns/platform.h"
#include "StandIns/program.h"

using namespace standins;

namespace {

constexpr const char *usage =
    R"(Stand-in for the platform: etcd v3's HTTP/JSON gateway in memory, and GET /vms.

Usage:
  standin-platform --port=PORT [--vms=FILE] [--list-lag-ms=N]
  standin-platform --help

Options:
  --port=PORT       Port on 127.0.0.1; 0 takes a free one.
  --vms=FILE        JSON file with the first list of VMs.
  --list-lag-ms=N   How far the list lags behind, in milliseconds [default: 0].
  --help            Shows this text.

POST /control {"mode":"up|down|slow","delay_ms":N,"drop_next_replies":N,"vms":[...],"list_lag_ms":N}
GET /counters
)";

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions("standin-platform", usage, argc, argv);
    EventLoop loop;
    Platform platform(loop, static_cast<std::int64_t>(numberOption(options, "--list-lag-ms")));
    if (!textOption(options, "--vms").empty()) {
        const std::string error = platform.setVms(fileOption(options, "--vms"));
        if (!error.empty())
            fail(options.program_, "--vms: " + error);
    }
    HttpServer server(loop, [&](const HttpRequest &request, const ExchangePtr &exchange) {
        platform.handle(request, exchange);
    });
    return serve(loop, server, options);
}
