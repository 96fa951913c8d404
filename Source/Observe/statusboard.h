#pragma once

/// What a process shows of itself: written by the thread that decides, read by those that serve
/// HTTP.

#include <atomic>
#include <mutex>
#include <string>
#include <string_view>

namespace eelgrasscove {

class StatusBoard
{
public:
    /// Whether new work may come; false while leaving.
    void setReady(bool ready) { ready_ = ready; }
    bool ready() const { return ready_; }

    /// status is a JSON object.
    void setStatus(std::string status)
    {
        const std::lock_guard guard(mutex_);
        status_ = std::move(status);
    }

    std::string status() const
    {
        const std::lock_guard guard(mutex_);
        return status_;
    }

private:
    std::atomic<bool> ready_ = false;
    mutable std::mutex mutex_;
    std::string status_ = "{}";
};

/// An answer to an observing request.
struct ObserveAnswer
{
    unsigned status_ = 404;
    std::string contentType_ = "text/plain";
    std::string body_;
};

/// Whether the path is one of /healthz, /readyz, /metrics, /status.
bool isObservePath(std::string_view path);

/// The answer for such a path.
ObserveAnswer answerObserve(const StatusBoard &board, std::string_view path);

} // namespace eelgrasscove
