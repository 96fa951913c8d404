#include "Store/leasedkeys.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration callTimeout = 1500ms;
constexpr Duration retryPause = 500ms;

} // namespace

LeasedKeys::LeasedKeys(EventLoop &loop, const Endpoint &store, StoreEra &era,
                       const std::string &prefix, Duration lifetime)
    : loop_(loop), client_(loop, store, era), lifetime_(lifetime),
      list_(client_, prefix,
            {[this](const ListedKeys &list) { onListed_(list.items_); },
             [this, prefix](std::string_view reason) {
                 eventLog().note("store.list_failed", "prefix", prefix, "reason", reason);
                 loop_.timers().once(retryPause, [this] { list_.resume(); });
             }})
{ }

void LeasedKeys::list(std::function<void(const std::vector<wire::StoreItem> &)> onListed)
{
    onListed_ = std::move(onListed);
    list_.start();
}

void LeasedKeys::write(const std::string &key, const std::string &value, DoneHandler onDone)
{
    wire::StoreCall lease =
        wire::leaseCall(std::chrono::duration_cast<std::chrono::milliseconds>(lifetime_).count());
    countMetric("eelgrasscove_store_calls_total", "call=\"lease\"");
    client_.call(
        std::move(lease), callTimeout,
        [this, key, value, onDone = std::move(onDone)](std::optional<HttpResponse> response) {
            const auto id = response && response->status_ == 200
                ? wire::decodeLease(response->body_)
                : std::nullopt;
            if (!id) {
                onDone(false);
                return;
            }
            wire::StoreCall call = wire::writeCall(key, value, *id);
            countMetric("eelgrasscove_store_calls_total", "call=\"txn\"");
            client_.call(std::move(call), callTimeout,
                         [onDone](std::optional<HttpResponse> written) {
                             onDone(written && written->status_ == 200);
                         });
        });
}

void LeasedKeys::remove(const std::string &key, DoneHandler onDone)
{
    wire::StoreCall call = wire::removeCall(key);
    countMetric("eelgrasscove_store_calls_total", "call=\"txn\"");
    client_.call(std::move(call), callTimeout,
                 [onDone = std::move(onDone)](std::optional<HttpResponse> response) {
                     onDone(response && response->status_ == 200);
                 });
}

} // namespace eelgrasscove
