#pragma once

/// The platform stand-in: a subset of etcd v3's HTTP/JSON gateway over a KeyValueStore, and the
/// lagging list of VMs at GET /vms.
///
/// POST /control takes any of {"mode":"up|down|slow","delay_ms":N,"drop_next_replies":N,
/// "vms":[...],"list_lag_ms":N,"remember":true,"stale_reads":true|false}; stale reads see the store
/// as it was when it was remembered. GET /counters tells the calls so far and the watches waiting.
/// Both work in every mode. While down, every other connection is closed without effect.

#include "StandIns/http.h"

#include <memory>
#include <string>

namespace standins {

class Platform
{
public:
    Platform(EventLoop &loop, std::int64_t listLagMillis);
    ~Platform();
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    /// Replaces the VM list by a JSON array of VMs or an object with "vms". Empty on success, else
    /// what is wrong with the text.
    std::string setVms(const std::string &vmsText);
    void handle(const HttpRequest &request, const ExchangePtr &exchange);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace standins
