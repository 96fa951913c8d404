#pragma once

/// Serves /healthz, /readyz, /metrics and /status on an address of their own, one short connection
/// a request.

#include "Observe/statusboard.h"

#include <eelgrasscove/result.h>

#include <memory>
#include <string>

namespace eelgrasscove {

/// The observing layer's own errors.
struct ObserveError
{
    std::string message_;
};

class ObserveServer
{
public:
    /// listen is "IP:PORT"; where it is empty, start() does nothing.
    ObserveServer(std::string listen, const StatusBoard &board);
    ~ObserveServer();

    ObserveServer(const ObserveServer &) = delete;
    ObserveServer &operator=(const ObserveServer &) = delete;

    Result<Done, ObserveError> start();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
