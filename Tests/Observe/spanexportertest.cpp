#define BOOST_TEST_MODULE Observe
#include "Observe/spanexporter.h"
#include "Observe/metrics.h"

#include "StandIns/http.h"

#include <boost/test/unit_test.hpp>
#include <fmt/core.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

using namespace eelgrasscove;

namespace {

/// How a collector treats its callers.
enum class Manner {
    Takes,
    Refuses,
    NeverAnswers,
    Gone,
};

/// A collector on a thread of its own; read what it got after its end.
class Collector
{
public:
    explicit Collector(Manner manner) : manner_(manner)
    {
        BOOST_REQUIRE_EQUAL(server_->listen(0), "");
        url_ = fmt::format("http://127.0.0.1:{}", server_->port());
        if (manner == Manner::Gone)
            server_.reset();
        else
            thread_ = std::thread([this] { loop_.run(); });
    }

    ~Collector() { end(); }

    Collector(const Collector &) = delete;
    Collector &operator=(const Collector &) = delete;

    void end()
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    std::string url_;
    std::vector<standins::HttpRequest> got_;

private:
    void take(const standins::HttpRequest &request, const standins::ExchangePtr &exchange)
    {
        got_.push_back(request);
        if (manner_ == Manner::NeverAnswers)
            return;
        standins::HttpResponse response;
        response.status_ = manner_ == Manner::Takes ? 200 : 500;
        response.body_ = "{}";
        exchange->send(response);
    }

    Manner manner_;
    standins::EventLoop loop_;
    std::optional<standins::HttpServer> server_{
        std::in_place, loop_,
        [this](const standins::HttpRequest &request, const standins::ExchangePtr &exchange) {
            take(request, exchange);
        }};
    std::thread thread_;
};

/// The sum of a counter over all its labels.
std::uint64_t counted(std::string_view metric)
{
    const std::string text = metricsText();
    std::uint64_t sum = 0;
    for (std::size_t at = text.find(metric); at != std::string::npos;
         at = text.find(metric, at + 1)) {
        if (at > 0 && text[at - 1] != '\n')
            continue;
        const std::size_t end = text.find('\n', at);
        const std::string line = text.substr(at, end - at);
        sum += std::stoull(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

Span spanNumber(std::size_t number)
{
    Span span;
    span.name_ = "entry";
    span.context_ = childOf({});
    span.start_ = monotonicNow();
    span.end_ = span.start_;
    span.attributes_ = {{"number", std::to_string(number)}};
    return span;
}

/// How often each span came, by its number.
std::map<std::string, int> spansOf(const Collector &collector)
{
    std::map<std::string, int> times;
    for (const standins::HttpRequest &request : collector.got_) {
        BOOST_TEST(request.method_ == "POST");
        BOOST_TEST(request.target_ == collectorPath);
        BOOST_TEST(standins::headerValue(request.headers_, "Content-Type") == "application/json");
        const auto body = nlohmann::json::parse(request.body_);
        BOOST_REQUIRE(body["resourceSpans"].size() == 1U);
        const auto &resource = body["resourceSpans"][0];
        BOOST_TEST(resource["resource"]["attributes"][0]["value"]["stringValue"] == "entry-1");
        for (const auto &span : resource["scopeSpans"][0]["spans"])
            ++times[span["attributes"][0]["value"]["stringValue"].get<std::string>()];
    }
    return times;
}

struct Export
{
    std::string_view name_;
    std::size_t spans_ = 0;
    Manner manner_ = Manner::Takes;
    /// Whether each span must come once; else none may be counted as sent.
    bool all_ = false;
};

const Export exports[] = {
    {"less than a batch", 3, Manner::Takes, true},
    {"several batches", 3 * batchSpans + 1, Manner::Takes, true},
    {"an error for an answer", batchSpans + 1, Manner::Refuses, false},
    {"no answer, with more than is held", heldSpans + 2 * batchSpans, Manner::NeverAnswers, false},
    {"nobody there", batchSpans + 1, Manner::Gone, false},
};

} // namespace

BOOST_AUTO_TEST_CASE(everySpanIsSentOnceOrCountedAsDropped)
{
    for (const Export &one : exports) {
        BOOST_TEST_CONTEXT(one.name_)
        {
            const std::uint64_t sentBefore = counted(spansSentMetric);
            const std::uint64_t droppedBefore = counted(spansDroppedMetric);
            Collector collector(one.manner_);
            SpanExporter exporter(collector.url_);
            configureTrace("entry-1", false, exporter.sink());
            exporter.start();
            for (std::size_t number = 0; number < one.spans_; ++number)
                emitSpan(spanNumber(number));
            exporter.flushAndStop();
            configureTrace("entry-1", false);
            collector.end();
            const std::uint64_t sent = counted(spansSentMetric) - sentBefore;
            BOOST_TEST(sent == (one.all_ ? one.spans_ : 0));
            BOOST_TEST(sent + counted(spansDroppedMetric) - droppedBefore == one.spans_);
            if (!one.all_)
                continue;
            const std::map<std::string, int> times = spansOf(collector);
            BOOST_TEST(times.size() == one.spans_);
            for (const auto &[number, count] : times)
                BOOST_TEST(count == 1, number);
            BOOST_TEST(collector.got_.size() <= one.spans_ / batchSpans + 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(withoutACollectorNothingIsHeld)
{
    SpanExporter exporter("");
    BOOST_TEST(!exporter.sink());
    exporter.start();
    exporter.flushAndStop();
}
