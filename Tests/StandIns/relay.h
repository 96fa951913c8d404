#pragma once

/// A TCP relay that stands in for the network between two processes.
///
/// POST /control takes any of {"cut":bool,"blackhole":bool,"delay_ms":N,"drop_to_client":bool,
/// "drop_to_server":bool}. A cut closes every connection and refuses new ones. In a black hole
/// connections stay and bytes wait. Dropped bytes are gone: a connection that lost some is closed
/// when its direction heals, so that nobody ever reads across the gap.

#include "StandIns/http.h"

#include <memory>
#include <string>

namespace standins {

class Relay
{
public:
    Relay(EventLoop &loop, HostPort listen, HostPort to);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Empty on success, else what went wrong.
    std::string start();
    /// Where it listens; after start() with the port taken.
    std::uint16_t port() const;
    /// The control interface; GET /counters tells connections and bytes.
    void handle(const HttpRequest &request, const ExchangePtr &exchange);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace standins
