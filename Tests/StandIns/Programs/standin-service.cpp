/// Stand-in for a plain service.

#include "StandIns/program.h"
#include "StandIns/service.h"

using namespace standins;

namespace {

constexpr const char *usage = R"(Stand-in for a plain service, such as records or ledger.

Usage:
  standin-service --port=PORT --name=NAME [--delay-ms=N]
  standin-service --help

Options:
  --port=PORT    Port on 127.0.0.1; 0 takes a free one.
  --name=NAME    Name that answers carry, for example records.
  --delay-ms=N   Time a call takes, in milliseconds [default: 0].
  --help         Shows this text.

Any path; every POST appends a booking.
GET /log
POST /control {"fail_next":N,"close_before_reply_next":N,"delay_ms":N}
)";

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions("standin-service", usage, argc, argv);
    EventLoop loop;
    PlainService service(
        loop,
        {.name_ = textOption(options, "--name"),
         .delayMillis_ = static_cast<std::int64_t>(numberOption(options, "--delay-ms"))});
    HttpServer server(loop, [&](const HttpRequest &request, const ExchangePtr &exchange) {
        service.handle(request, exchange);
    });
    return serve(loop, server, options);
}
