#include "Edge/scarcity.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace eelgrasscove {

namespace {

/// Maximum number of rows in a message: 88 bytes, so that the message fits into one datagram.
constexpr std::size_t maxReportedRows = 8;

template <class Number>
Number saturated(std::int64_t value)
{
    return static_cast<Number>(
        std::clamp<std::int64_t>(value, 0, std::numeric_limits<Number>::max()));
}

} // namespace

WaitingRow makeWaitingRow(NameHash service, int priority)
{
    return {.service_ = service, .priority_ = saturated<std::uint8_t>(priority)};
}

void addWaiting(WaitingRow &row, Duration wait, const ScarcitySettings &settings)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    row.waiting_ = saturated<std::uint16_t>(row.waiting_ + 1);
    row.lacking_ = saturated<std::uint16_t>(row.lacking_ + (wait >= settings.minWait_ ? 1 : 0));
    row.longestWaitMillis_ = std::max(row.longestWaitMillis_, saturated<std::uint16_t>(millis));
}

std::vector<WaitingRow> rowsToReport(const Scarcity &scarcity)
{
    std::vector<WaitingRow> rows = scarcity.ownRows_;
    std::stable_sort(rows.begin(), rows.end(), [](const WaitingRow &left, const WaitingRow &right) {
        return std::tuple(left.priority_, right.longestWaitMillis_)
            < std::tuple(right.priority_, left.longestWaitMillis_);
    });
    rows.resize(std::min(rows.size(), maxReportedRows));
    return rows;
}

void applyPeerRows(Scarcity &scarcity, NameHash peer, std::vector<WaitingRow> rows, Time now)
{
    if (rows.empty())
        scarcity.peers_.erase(peer);
    else
        scarcity.peers_[peer] = {now, std::move(rows)};
}

std::vector<NameHash> updateThresholds(Scarcity &scarcity, Time now)
{
    const ScarcitySettings &settings = scarcity.settings_;
    std::erase_if(scarcity.peers_, [&](const auto &each) {
        return now - each.second.receivedAt_ > settings.rowTimeout_;
    });
    // The most urgent priority that lacks room, by service.
    std::map<NameHash, int> lacking;
    const auto addRows = [&](const std::vector<WaitingRow> &rows) {
        for (const WaitingRow &row : rows) {
            if (row.lacking_ == 0)
                continue;
            const auto [found, isNew] = lacking.try_emplace(row.service_, row.priority_);
            found->second = std::min<int>(found->second, row.priority_);
        }
    };
    addRows(scarcity.ownRows_);
    for (const auto &[peer, report] : scarcity.peers_)
        addRows(report.rows_);

    std::vector<NameHash> changed;
    for (const auto &[service, priority] : lacking) {
        const auto [found, isNew] = scarcity.thresholds_.try_emplace(service);
        ScarcityThreshold &threshold = found->second;
        if (isNew || priority < threshold.priority_) {
            changed.push_back(service);
            threshold = {priority, now};
        } else if (priority == threshold.priority_) {
            threshold.lackedRoomAt_ = now;
        }
    }
    for (auto each = scarcity.thresholds_.begin(); each != scarcity.thresholds_.end();) {
        ScarcityThreshold &threshold = each->second;
        if (now - threshold.lackedRoomAt_ < settings.relaxAfter_) {
            ++each;
            continue;
        }
        changed.push_back(each->first);
        // The next priority that lacks room is the next threshold.
        const auto next = lacking.find(each->first);
        if (next == lacking.end()) {
            each = scarcity.thresholds_.erase(each);
        } else {
            threshold = {next->second, now};
            ++each;
        }
    }
    for (auto &[service, threshold] : scarcity.thresholds_)
        threshold.lacking_ = waitingAtAll(scarcity, service, threshold.priority_, now).lacking_;
    return changed;
}

std::optional<int> thresholdOf(const Scarcity &scarcity, NameHash service)
{
    const auto threshold = scarcity.thresholds_.find(service);
    return threshold == scarcity.thresholds_.end() ? std::nullopt
                                                   : std::optional(threshold->second.priority_);
}

double admittedFraction(const Scarcity &scarcity, const ScarcityThreshold &threshold,
                        double completionsPerSecond)
{
    if (threshold.lacking_ == 0)
        return 1;
    const ScarcitySettings &settings = scarcity.settings_;
    const double noticed =
        completionsPerSecond * std::chrono::duration<double>(settings.slotNoticeTime_).count();
    const auto lacking = static_cast<double>(threshold.lacking_);
    return noticed <= 0 ? settings.minAdmittedFraction_
                        : std::max(settings.minAdmittedFraction_, 1 - lacking / noticed);
}

bool isHeldForUrgent(const Scarcity &scarcity, const HoldCandidate &candidate, Time now)
{
    const auto found = scarcity.thresholds_.find(candidate.service_);
    if (found == scarcity.thresholds_.end() || candidate.priority_ <= found->second.priority_)
        return false;
    const ScarcitySettings &settings = scarcity.settings_;
    const Duration waited = now - candidate.arrivedAt_;
    return candidate.freeFraction_ < settings.reservedFraction_
        && candidate.draw_
        >= admittedFraction(scarcity, found->second, candidate.completionsPerSecond_)
        && waited < (candidate.waitUntil_ - candidate.arrivedAt_) * settings.maxHoldFraction_;
}

WaitingSum waitingAtAll(const Scarcity &scarcity, NameHash service, int priority, Time now)
{
    WaitingSum sum;
    const auto addRows = [&](const std::vector<WaitingRow> &rows) {
        for (const WaitingRow &row : rows) {
            if (row.service_ != service || row.priority_ > priority)
                continue;
            sum.waiting_ += row.waiting_;
            sum.lacking_ += row.lacking_;
        }
    };
    addRows(scarcity.ownRows_);
    for (const auto &[peer, report] : scarcity.peers_) {
        if (now - report.receivedAt_ <= scarcity.settings_.rowTimeout_)
            addRows(report.rows_);
    }
    return sum;
}

double completionsOfAll(double ownPerSecond, double ownRunning, double allRunning)
{
    return ownRunning < 1 ? ownPerSecond : ownPerSecond * std::max(1.0, allRunning / ownRunning);
}

} // namespace eelgrasscove
