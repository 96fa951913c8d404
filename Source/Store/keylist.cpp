#include "Store/keylist.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"

#include <fmt/core.h>
#include <utility>

namespace eelgrasscove {

namespace {

/// The store usually responds to a list request within a few milliseconds; a slow store takes up to
/// 100 times as long.
constexpr Duration listTimeout = std::chrono::milliseconds(1500);

/// Returns whether the store refuses the call itself, so that repeating it doesn't help.
bool isCallRefused(unsigned status)
{
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned tooManyRequests = 429;
    return status >= 400 && status < 500 && status != requestTimeout && status != tooManyRequests;
}

} // namespace

ListProgress addPage(ListedKeys &list, wire::StoreItems &&page)
{
    if (list.cursor_.empty())
        list.revision_ = page.revision_;
    for (wire::StoreItem &item : page.items_)
        list.items_.push_back(std::move(item));
    if (!page.hasMore_)
        return ListProgress::Complete;
    if (page.lastKey_.empty() || !list.cursors_.insert(page.lastKey_).second)
        return ListProgress::Stuck;
    list.cursor_ = std::move(page.lastKey_);
    return ListProgress::NextPage;
}

void noteIgnoredItems(std::string_view keyPrefix, const wire::StoreItems &items)
{
    if (items.ignored_ == 0)
        return;
    eventLog().note("store.items_ignored", "prefix", keyPrefix, "items", items.ignored_, "reason",
                    "no key under the prefix, or the value is not base64", "revision",
                    items.revision_);
}

KeyList::KeyList(StoreClient &client, std::string keyPrefix, Callbacks callbacks)
    : client_(client), keyPrefix_(std::move(keyPrefix)), callbacks_(std::move(callbacks))
{ }

void KeyList::start()
{
    ++lists_;
    list_ = {};
    requestPage();
}

void KeyList::requestPage()
{
    if (list_.cursor_.empty())
        list_.requestedAt_ = bootNow();
    wire::StoreCall call = wire::rangeCall(keyPrefix_, list_.cursor_, false);
    countMetric("eelgrasscove_store_calls_total", "call=\"range\"");
    client_.call(std::move(call), listTimeout,
                 [this, list = lists_](const std::optional<HttpResponse> &response) {
                     if (list == lists_)
                         handleResponse(response);
                 });
}

void KeyList::handleResponse(const std::optional<HttpResponse> &response)
{
    if (!response) {
        callbacks_.onFailed_("list: no response");
        return;
    }
    if (response->status_ != 200) {
        if (isCallRefused(response->status_))
            list_ = {};
        callbacks_.onFailed_(fmt::format("list: status {}", response->status_));
        return;
    }
    std::optional<wire::StoreItems> page = wire::decodeItems(response->body_, keyPrefix_);
    if (!page) {
        callbacks_.onFailed_("list: response could not be parsed");
        return;
    }
    noteIgnoredItems(keyPrefix_, *page);
    switch (addPage(list_, std::move(*page))) {
    case ListProgress::NextPage:
        requestPage();
        break;
    case ListProgress::Complete:
        callbacks_.onListed_(std::exchange(list_, {}));
        break;
    case ListProgress::Stuck:
        list_ = {};
        callbacks_.onFailed_("list: a page does not continue the one before");
        break;
    }
}

} // namespace eelgrasscove
