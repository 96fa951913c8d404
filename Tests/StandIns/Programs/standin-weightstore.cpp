/// Stand-in for the rate-limited weight store.

#include "StandIns/program.h"
#include "StandIns/weightstore.h"

using namespace standins;

namespace {

constexpr const char *usage = R"(Stand-in for the weight store.

Usage:
  standin-weightstore --port=PORT [--loads-per-second=N] [--fetch-ms=N]
  standin-weightstore --help

Options:
  --port=PORT            Port on 127.0.0.1; 0 takes a free one.
  --loads-per-second=N   Fetches that may begin in a second; 0 for no bound [default: 3.5].
  --fetch-ms=N           Time of a fetch while no more than two run [default: 100].
  --help                 Shows this text.

GET /weights/ADAPTER/VERSION?load_ms=N
GET /counters
)";

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions("standin-weightstore", usage, argc, argv);
    EventLoop loop;
    const WeightStoreOptions storeOptions = {
        .loadsPerSecond_ = numberOption(options, "--loads-per-second"),
        .fetchMillis_ = static_cast<std::int64_t>(numberOption(options, "--fetch-ms")),
    };
    WeightStore store(loop, storeOptions);
    HttpServer server(loop, [&](const HttpRequest &request, const ExchangePtr &exchange) {
        store.handle(request, exchange);
    });
    return serve(loop, server, options);
}
