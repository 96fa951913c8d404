#pragma once

/// Calls the platform's store over a connection of its own and observes the era of each response.

#include "Net/httpcaller.h"
#include "Store/storeera.h"
#include "platform/storewire.h"

namespace eelgrasscove {

class StoreClient
{
public:
    StoreClient(EventLoop &loop, const Endpoint &store, StoreEra &era)
        : client_(loop, store), era_(era)
    { }

    /// Sends the call after those before it. The handler receives an empty value if no response
    /// arrived, or one of an earlier era than the process already knows.
    void call(wire::StoreCall call, Duration timeout, HttpCaller::ResponseHandler onResponse);

    /// Drops all calls without calling their handlers, also that whose response shows a change of
    /// the era; the next call uses a new connection.
    void dropCalls();

    /// Returns the number of calls that are sent or queued.
    std::size_t pending() const { return client_.pending(); }
    StoreEra &era() const { return era_; }

private:
    HttpCaller client_;
    StoreEra &era_;
    /// Number of times that the calls were dropped.
    std::uint64_t drops_ = 0;
};

} // namespace eelgrasscove
