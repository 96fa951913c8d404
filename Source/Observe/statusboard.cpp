#include "Observe/statusboard.h"

#include "Observe/metrics.h"

#include <algorithm>
#include <array>

namespace eelgrasscove {

namespace {

constexpr std::array<std::string_view, 4> observePaths = {"/healthz", "/readyz", "/metrics",
                                                          "/status"};

} // namespace

bool isObservePath(std::string_view path)
{
    return std::find(observePaths.begin(), observePaths.end(), path) != observePaths.end();
}

ObserveAnswer answerObserve(const StatusBoard &board, std::string_view path)
{
    if (path == "/healthz")
        return {200, "text/plain", "ok\n"};
    if (path == "/readyz")
        return board.ready() ? ObserveAnswer{200, "text/plain", "ready\n"}
                             : ObserveAnswer{503, "text/plain", "not ready\n"};
    if (path == "/metrics")
        return {200, "text/plain; version=0.0.4", metricsText()};
    if (path == "/status")
        return {200, "application/json", board.status()};
    return {404, "text/plain", "no such page; see /healthz, /readyz, /metrics, /status\n"};
}

} // namespace eelgrasscove
