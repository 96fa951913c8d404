#include "Store/registration.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/storewire.h"

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Life of the key after its process has died.
constexpr std::int64_t lifeMillis = 6000;
/// A third of the life, so that two renewals may be lost.
constexpr Duration renewPeriod = 2s;
constexpr Duration retryPause = 500ms;
constexpr Duration callTimeout = 1500ms;

} // namespace

Registration::Registration(EventLoop &loop, const Endpoint &store, std::string key,
                           std::string value)
    : loop_(loop), caller_(loop, store), key_(std::move(key)), value_(std::move(value))
{ }

void Registration::start()
{
    acquire();
}

void Registration::acquire()
{
    wire::StoreCall call = wire::leaseCall(lifeMillis);
    countMetric("eelgrasscove_store_calls_total", "call=\"lease\"");
    caller_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_),
                 callTimeout, [this](std::optional<HttpResponse> response) {
                     const auto lease = response && response->status_ == 200
                         ? wire::decodeLease(response->body_)
                         : std::nullopt;
                     if (!lease) {
                         eventLog().note("registration.failed", "step", "lease", "status",
                                         response ? response->status_ : 0);
                         again(retryPause);
                         return;
                     }
                     lease_ = *lease;
                     written_ = false;
                     write();
                 });
}

void Registration::write()
{
    wire::StoreCall call = wire::writeCall(key_, value_, lease_);
    countMetric("eelgrasscove_store_calls_total", "call=\"txn\"");
    caller_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_),
                 callTimeout, [this](std::optional<HttpResponse> response) {
                     written_ = response && response->status_ == 200;
                     if (response && response->status_ == 404)
                         lease_ = 0;
                     eventLog().note(written_ ? "registration.written" : "registration.failed",
                                     "step", "write", "status", response ? response->status_ : 0);
                     again(written_ ? renewPeriod : retryPause);
                 });
}

void Registration::renew()
{
    wire::StoreCall call = wire::renewCall(lease_);
    countMetric("eelgrasscove_store_calls_total", "call=\"renew\"");
    caller_.call(std::move(call.method_), std::move(call.target_), "", callTimeout,
                 [this](std::optional<HttpResponse> response) {
                     if (response && response->status_ == 404) {
                         eventLog().note("registration.lapsed", "lease", lease_);
                         lease_ = 0;
                     }
                     again(response && response->status_ == 200 ? renewPeriod : retryPause);
                 });
}

void Registration::again(Duration pause)
{
    if (ending_)
        return;
    loop_.timers().once(pause, [this] {
        if (ending_)
            return;
        if (lease_ == 0)
            acquire();
        else if (!written_)
            write();
        else
            renew();
    });
}

void Registration::end(std::function<void()> ended)
{
    ending_ = true;
    if (lease_ == 0) {
        ended();
        return;
    }
    wire::StoreCall call = wire::endLeaseCall(lease_);
    caller_.call(std::move(call.method_), std::move(call.target_), "", callTimeout,
                 [ended = std::move(ended)](const std::optional<HttpResponse> &) { ended(); });
}

} // namespace eelgrasscove
