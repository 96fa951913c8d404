#include "Store/registration.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/storewire.h"

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time to live of the lease: the key is removed this long after the last renewal.
constexpr std::int64_t leaseTtlMillis = 6000;
/// A third of the time to live, so that two consecutive renewals may be lost.
constexpr Duration renewPeriod = 2s;
constexpr Duration retryPause = 500ms;
constexpr Duration callTimeout = 1500ms;

} // namespace

Registration::Registration(EventLoop &loop, const Endpoint &store, StoreEra &era, std::string key,
                           std::string value)
    : loop_(loop), client_(loop, store, era), key_(std::move(key)), value_(std::move(value))
{
    era.onChanged([this] { onEraChanged(); });
}

void Registration::start()
{
    isStarted_ = true;
    acquireLease();
}

void Registration::onEraChanged()
{
    if (!isStarted_ || isEnding_)
        return;
    // The restored store may have lost the key, or may give the number of the lease to another.
    loop_.timers().cancel(nextCallTimer_);
    client_.dropCalls();
    lease_ = 0;
    isWritten_ = false;
    acquireLease();
}

void Registration::acquireLease()
{
    wire::StoreCall call = wire::leaseCall(leaseTtlMillis);
    countMetric("eelgrasscove_store_calls_total", "call=\"lease\"");
    client_.call(std::move(call), callTimeout, [this](std::optional<HttpResponse> response) {
        const auto lease = response && response->status_ == 200 ? wire::decodeLease(response->body_)
                                                                : std::nullopt;
        if (!lease) {
            eventLog().note("registration.failed", "step", "lease", "status",
                            response ? response->status_ : 0);
            scheduleNext(retryPause);
            return;
        }
        lease_ = *lease;
        isWritten_ = false;
        write();
    });
}

void Registration::write()
{
    wire::StoreCall call = wire::writeCall(key_, value_, lease_);
    countMetric("eelgrasscove_store_calls_total", "call=\"txn\"");
    client_.call(std::move(call), callTimeout, [this](std::optional<HttpResponse> response) {
        isWritten_ = response && response->status_ == 200;
        if (response && response->status_ == 404)
            lease_ = 0;
        eventLog().note(isWritten_ ? "registration.written" : "registration.failed", "step",
                        "write", "status", response ? response->status_ : 0);
        scheduleNext(isWritten_ ? renewPeriod : retryPause);
    });
}

void Registration::renew()
{
    wire::StoreCall call = wire::renewCall(lease_);
    countMetric("eelgrasscove_store_calls_total", "call=\"renew\"");
    client_.call(std::move(call), callTimeout, [this](std::optional<HttpResponse> response) {
        if (response && response->status_ == 404) {
            eventLog().note("registration.lapsed", "lease", lease_);
            lease_ = 0;
        }
        scheduleNext(response && response->status_ == 200 ? renewPeriod : retryPause);
    });
}

void Registration::scheduleNext(Duration pause)
{
    if (isEnding_)
        return;
    nextCallTimer_ = loop_.timers().once(pause, [this] {
        if (isEnding_)
            return;
        if (lease_ == 0)
            acquireLease();
        else if (!isWritten_)
            write();
        else
            renew();
    });
}

void Registration::revoke(std::function<void()> onEnded)
{
    isEnding_ = true;
    if (lease_ == 0) {
        onEnded();
        return;
    }
    wire::StoreCall call = wire::endLeaseCall(lease_);
    client_.call(
        std::move(call), callTimeout,
        [onEnded = std::move(onEnded)](const std::optional<HttpResponse> &) { onEnded(); });
}

} // namespace eelgrasscove
