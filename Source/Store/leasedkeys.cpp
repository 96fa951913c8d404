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
            {[this](const ListedKeys &list) {
                 isListing_ = false;
                 onListed_(list.items_);
             },
             [this, prefix](std::string_view reason) {
                 eventLog().note("store.list_failed", "prefix", prefix, "reason", reason);
                 retryTimer_ = loop_.timers().once(retryPause, [this] { list_.resume(); });
             }})
{
    era.onChanged([this] { onEraChanged(); });
}

void LeasedKeys::onEraChanged()
{
    if (!isListing_)
        return;
    loop_.timers().cancel(retryTimer_);
    list_.start();
}

void LeasedKeys::list(std::function<void(const std::vector<wire::StoreItem> &)> onListed)
{
    onListed_ = std::move(onListed);
    isListing_ = true;
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
            const std::uint64_t eraChanges = client_.era().changes();
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
                         [this, eraChanges, onDone](std::optional<HttpResponse> written) {
                             // Of another era, the lease may be another process's.
                             onDone(written && written->status_ == 200
                                    && eraChanges == client_.era().changes());
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
