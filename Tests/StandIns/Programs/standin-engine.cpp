/// Stand-in for a model engine.

#include "StandIns/engine.h"
#include "StandIns/program.h"

using namespace standins;

namespace {

constexpr const char *usage = R"(Stand-in for a model engine with LoRA adapters.

Usage:
  standin-engine --port=PORT [--adapter-slots=N] [--batch-slots=N] [--token-ms=N] [--load-ms=N]
                 [--restart-ms=N] [--weight-store=HOST:PORT] [--check-fencing] [--crash-marker=TEXT]
  standin-engine --help

Options:
  --port=PORT                Port on 127.0.0.1; 0 takes a free one.
  --adapter-slots=N          Adapters that fit at a time [default: 8].
  --batch-slots=N            Requests that run at a time [default: 16].
  --token-ms=N               Time of one step of the batch, fractions allowed [default: 10].
  --load-ms=N                Time an adapter takes to load [default: 250].
  --restart-ms=N             Time away after a crash [default: 500].
  --weight-store=HOST:PORT   Asked for every load; without it a load takes --load-ms.
  --check-fencing            Refuse orders with an old fencing number (409).
  --crash-marker=TEXT        A prompt that contains it crashes the engine.
  --help                     Shows this text.

POST /control {"fail_loads":N,"restart":true,"freeze_ms":N,"keep_on_disconnect":true}
GET /state, GET /log
)";

EngineOptions engineOptions(const Options &options)
{
    constexpr double microsPerMilli = 1000;
    EngineOptions engine;
    engine.adapterSlots_ = static_cast<std::size_t>(numberOption(options, "--adapter-slots"));
    engine.batchSlots_ = static_cast<std::size_t>(numberOption(options, "--batch-slots"));
    engine.stepTime_ =
        Micros(static_cast<std::int64_t>(numberOption(options, "--token-ms") * microsPerMilli));
    engine.loadMillis_ = static_cast<std::int64_t>(numberOption(options, "--load-ms"));
    engine.restartTime_ =
        std::chrono::milliseconds(static_cast<std::int64_t>(numberOption(options, "--restart-ms")));
    engine.checkFencing_ = flagOption(options, "--check-fencing");
    engine.crashMarker_ = textOption(options, "--crash-marker");
    if (!textOption(options, "--weight-store").empty())
        engine.weightStore_ = hostPortOption(options, "--weight-store");
    return engine;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions("standin-engine", usage, argc, argv);
    EventLoop loop;
    Engine engine(loop, engineOptions(options));
    HttpServer server(loop, [&](const HttpRequest &request, const ExchangePtr &exchange) {
        engine.handle(request, exchange);
    });
    engine.onCrash([&](const ExchangePtr &keep) { server.closeConnections(keep); });
    return serve(loop, server, options);
}
