#pragma once

/// Lists all keys under a prefix of the platform's store, page by page.

#include "Store/storeclient.h"

#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

/// The items of the pages received so far. The pages are not one snapshot.
struct ListedKeys
{
    std::vector<wire::StoreItem> items_;
    /// The store's revision at the first page. Changes made after it may be missing.
    std::uint64_t revision_ = 0;
    /// Time at which the first page was requested.
    Time requestedAt_;
    /// Keys after which pages were requested.
    std::set<std::string> cursors_;
    /// Key after which the next page begins; empty before the first page.
    std::string cursor_;
};

enum class ListProgress {
    NextPage,
    /// All pages have been received.
    Complete,
    /// The page announces another one and doesn't say where it begins, or begins it where an
    /// earlier one began.
    Stuck,
};

/// Adds a page to the list. The list may only be used once it is complete: its reader takes what it
/// lacks for removed.
ListProgress addPage(ListedKeys &list, wire::StoreItems &&page);

/// Logs that items of a response were left out.
void noteIgnoredItems(std::string_view keyPrefix, const wire::StoreItems &items);

/// Requests the pages of a list over a client that it shares with other calls.
class KeyList
{
public:
    struct Callbacks
    {
        /// Receives the complete list.
        std::function<void(const ListedKeys &)> onListed_;
        /// Receives why a page failed. The list continues when resume() is called.
        std::function<void(std::string_view reason)> onFailed_;
    };

    KeyList(StoreClient &client, std::string keyPrefix, Callbacks callbacks);

    /// Begins a list. The response to a page that is requested for an earlier one is ignored.
    void start();
    /// Requests the page that failed again, or the first one if the pages do not make up a list.
    void resume() { requestPage(); }

private:
    void requestPage();
    void handleResponse(const std::optional<HttpResponse> &response);

    StoreClient &client_;
    std::string keyPrefix_;
    Callbacks callbacks_;
    ListedKeys list_;
    /// Number of lists begun so far.
    std::uint64_t lists_ = 0;
};

} // namespace eelgrasscove
