#include "Observe/spanexporter.h"

#include "Observe/log.h"
#include "Observe/metrics.h"
#include "Platform/httpclient.h"
#include "Vm/boundedring.h"

#include <algorithm>
#include <fmt/core.h>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace eelgrasscove {

namespace {

/// The ring is emptied so often. Its reader sleeps in between, so that a span's maker never has to
/// wake it.
constexpr Duration drainPeriod = std::chrono::milliseconds(50);
constexpr std::uint32_t firstGoodStatus = 200;
constexpr std::uint32_t firstOtherStatus = 300;

bool accepted(const HttpReply &reply)
{
    return reply.end_ == HttpEnd::Replied && reply.status_ >= firstGoodStatus
        && reply.status_ < firstOtherStatus;
}

void countDropped(std::string_view reason, std::size_t spans)
{
    if (spans > 0)
        countMetric(spansDroppedMetric, fmt::format("reason=\"{}\"", reason), spans);
}

} // namespace

struct SpanExporter::Impl
{
    std::string url_;
    BoundedRing<Span> held_{heldSpans};
    BoundedRing<HttpReply> replies_{1};
    /// When the stop's time is over; far off until then. Written before the ring is closed.
    Time stopAt_ = Time::max();
    std::vector<Span> batch_;
    Time batchSince_;
    /// Whether the last call was accepted, so that only a change is logged.
    bool reached_ = true;
    HttpClient client_;
    std::thread thread_;

    explicit Impl(std::string url) : url_(std::move(url)) { }

    void take(Span &&span)
    {
        if (!held_.tryPush(std::move(span)))
            countDropped("ring_full", 1);
    }

    void run()
    {
        while (!held_.closed()) {
            fillBatch();
            if (batchDue())
                send();
            else
                std::this_thread::sleep_for(drainPeriod);
        }
        for (fillBatch(); !batch_.empty(); fillBatch())
            send();
    }

    void fillBatch()
    {
        while (batch_.size() < batchSpans) {
            std::optional<Span> span = held_.pop(Duration(0));
            if (!span)
                return;
            if (batch_.empty())
                batchSince_ = monotonicNow();
            batch_.push_back(std::move(*span));
        }
    }

    bool batchDue() const
    {
        return batch_.size() >= batchSpans
            || (!batch_.empty() && monotonicNow() - batchSince_ >= batchWait);
    }

    void send()
    {
        const std::vector<Span> spans = std::exchange(batch_, {});
        const Duration time = timeLeft();
        if (time <= Duration(0)) {
            countDropped("stopped", spans.size());
            return;
        }
        const HttpReply reply = post(spansJson(spans), time);
        if (accepted(reply))
            countMetric(spansSentMetric, {}, spans.size());
        else
            countDropped(reply.end_ == HttpEnd::Replied ? "refused" : "unreachable", spans.size());
        logChange(reply);
    }

    /// Not more than one call takes, nor than the stop leaves.
    Duration timeLeft() const
    {
        if (!held_.closed())
            return collectorTimeout;
        return std::min<Duration>(collectorTimeout, stopAt_ - monotonicNow());
    }

    HttpReply post(std::string body, Duration timeout)
    {
        HttpCall call;
        call.url_ = url_;
        call.body_ = std::move(body);
        call.timeout_ = timeout;
        client_.call(std::move(call),
                     [this](HttpReply reply) { replies_.tryPush(std::move(reply)); });
        while (!replies_.closed()) {
            if (std::optional<HttpReply> reply = replies_.pop(timeout))
                return std::move(*reply);
        }
        return {};
    }

    void logChange(const HttpReply &reply)
    {
        const bool reached = accepted(reply);
        if (reached == std::exchange(reached_, reached))
            return;
        if (reached) {
            logEvent(LogLevel::Info, "collector_reached", {{"url", url_}});
            return;
        }
        logEvent(
            LogLevel::Warning, "collector_lost",
            {{"url", url_}, {"status", std::to_string(reply.status_)}, {"error", reply.error_}});
    }

    void stop(Duration flush)
    {
        if (!thread_.joinable())
            return;
        stopAt_ = monotonicNow() + flush;
        held_.close();
        if (flush == Duration(0))
            replies_.close();
        thread_.join();
        client_.stop();
    }
};

SpanExporter::SpanExporter(const std::string &collector)
{
    if (!collector.empty())
        impl_ = std::make_unique<Impl>(collector + std::string(collectorPath));
}

SpanExporter::~SpanExporter()
{
    if (impl_)
        impl_->stop(Duration(0));
}

void SpanExporter::start()
{
    if (!impl_)
        return;
    impl_->client_.start();
    impl_->thread_ = std::thread([impl = impl_.get()] { impl->run(); });
}

void SpanExporter::flushAndStop()
{
    if (impl_)
        impl_->stop(flushTime);
}

SpanSink SpanExporter::sink()
{
    if (!impl_)
        return {};
    return [impl = impl_.get()](Span &&span) { impl->take(std::move(span)); };
}

} // namespace eelgrasscove
