#include "Store/leasedkeys.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration callTimeout = 1500ms;
constexpr Duration retryPause = 500ms;

} // namespace

LeasedKeys::LeasedKeys(EventLoop &loop, const Endpoint &store, std::string prefix,
                       Duration lifetime)
    : loop_(loop), client_(loop, store), prefix_(std::move(prefix)), lifetime_(lifetime)
{ }

void LeasedKeys::list(std::function<void(const std::vector<wire::StoreItem> &)> onListed)
{
    onListed_ = std::move(onListed);
    requestPage("");
}

void LeasedKeys::requestPage(const std::string &afterKey)
{
    if (afterKey.empty())
        listedItems_.clear();
    wire::StoreCall call = wire::rangeCall(prefix_, afterKey, false);
    countMetric("eelgrasscove_store_calls_total", "call=\"range\"");
    client_.call(
        std::move(call.method_), std::move(call.target_), "", callTimeout,
        [this](std::optional<HttpResponse> response) {
            auto items = response && response->status_ == 200 ? wire::decodeItems(response->body_)
                                                              : std::nullopt;
            if (!items) {
                eventLog().note("store.list_failed", "prefix", prefix_, "status",
                                response ? response->status_ : 0);
                loop_.timers().once(retryPause, [this] { requestPage(""); });
                return;
            }
            if (items->ignored_ > 0)
                eventLog().note("store.items_ignored", "prefix", prefix_, "items", items->ignored_);
            listedItems_.insert(listedItems_.end(), items->items_.begin(), items->items_.end());
            if (items->hasMore_ && !items->lastKey_.empty())
                requestPage(items->lastKey_);
            else
                onListed_(listedItems_);
        });
}

void LeasedKeys::write(const std::string &key, const std::string &value, DoneHandler onDone)
{
    wire::StoreCall lease =
        wire::leaseCall(std::chrono::duration_cast<std::chrono::milliseconds>(lifetime_).count());
    countMetric("eelgrasscove_store_calls_total", "call=\"lease\"");
    client_.call(
        std::move(lease.method_), std::move(lease.target_), std::move(lease.body_), callTimeout,
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
            client_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_),
                         callTimeout, [onDone](std::optional<HttpResponse> written) {
                             onDone(written && written->status_ == 200);
                         });
        });
}

void LeasedKeys::remove(const std::string &key, DoneHandler onDone)
{
    wire::StoreCall call = wire::removeCall(key);
    countMetric("eelgrasscove_store_calls_total", "call=\"txn\"");
    client_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_),
                 callTimeout, [onDone = std::move(onDone)](std::optional<HttpResponse> response) {
                     onDone(response && response->status_ == 200);
                 });
}

} // namespace eelgrasscove
