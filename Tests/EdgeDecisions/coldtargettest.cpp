#include "Edge/coldtarget.h"
#include "Edge/placement.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <random>
#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);
constexpr ColdLimits limits = {.time_ = 6s, .perSecond_ = 17};

/// A target of a service with cold targets, at the only entry.
ColdTarget coldTarget()
{
    ColdTarget cold;
    cold.limits_ = limits;
    cold.share_ = {0, 1};
    cold.startedAt_ = 5;
    return cold;
}

ListedTarget listedTarget(std::uint64_t startedAt, std::optional<Duration> left)
{
    ListedTarget listed;
    listed.startedAt_ = startedAt;
    if (left)
        listed.cold_ = {ColdForm::Stated, *left};
    return listed;
}

constexpr ColdStatement invalidStatement = {ColdForm::Invalid, {}};

std::vector<std::string> entryNames(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int entry = 0; entry < count; ++entry)
        names.push_back("edge-" + std::to_string(entry));
    return names;
}

std::string addressOf(int target)
{
    return "10.0.0." + std::to_string(target) + ":8080";
}

} // namespace

BOOST_AUTO_TEST_SUITE(coldtarget)

// Guards against quotas that together exceed the limit, or leave the limit unused.
BOOST_AUTO_TEST_CASE(quotas_of_all_entries_add_up_to_the_limit_at_most)
{
    for (const int count : {1, 2, 4, 21, 29, 400}) {
        const std::vector<std::string> names = entryNames(count);
        for (const double limit : {0.4, 1.0, 3.0, 17.0, 64.5, 900.0}) {
            for (int target = 0; target < 10; ++target) {
                std::size_t sum = 0;
                for (const std::string &name : names)
                    sum += quotaOf(limitShareOf(name, names, addressOf(target)), limit);
                BOOST_TEST(static_cast<double>(sum) <= std::max(1.0, limit));
                BOOST_TEST(static_cast<double>(sum) >= limit * 0.6);
            }
        }
    }
    BOOST_TEST(quotaOf({0, 0}, 17) == 0U);
    BOOST_TEST(quotaOf({0, 1}, 0) == 0U);
}

// Guards against the same few entries holding the quotas of every target.
BOOST_AUTO_TEST_CASE(different_targets_have_quotas_at_different_entries)
{
    const std::vector<std::string> names = entryNames(29);
    std::set<std::string> holders;
    for (int target = 0; target < 52; ++target) {
        std::set<std::size_t> ranks;
        for (const std::string &name : names) {
            const LimitShare share = limitShareOf(name, names, addressOf(target));
            ranks.insert(share.rank_);
            if (quotaOf(share, 17) > 0)
                holders.insert(name);
        }
        BOOST_TEST(ranks.size() == names.size());
    }
    BOOST_TEST(holders.size() == names.size());
}

// Guards against a quota that is used again before its window has passed.
BOOST_AUTO_TEST_CASE(quota_is_available_again_after_its_window)
{
    RecentSends sends;
    recordRecentSend(sends, now);
    BOOST_TEST((nextSendAt(sends, 2, now) == now));
    recordRecentSend(sends, now + 100ms);
    BOOST_TEST((nextSendAt(sends, 2, now + 200ms) == now + quotaWindow));
    BOOST_TEST((nextSendAt(sends, 2, now + 2s) == now + 2s));
    // A send that the target has not received leaves its quota unused.
    removeRecentSend(sends, now + 100ms);
    BOOST_TEST((nextSendAt(sends, 2, now + 200ms) == now + 200ms));
    removeRecentSend(sends, now + 100ms);
    BOOST_TEST((nextSendAt(sends, 1, now + 200ms) == now + quotaWindow));
    recordRecentSend(sends, now + 2s);
    BOOST_TEST(sends.size() == 1U);
}

// Guards against a change for services without cold targets.
BOOST_AUTO_TEST_CASE(target_of_a_service_without_cold_limits_is_never_limited)
{
    TargetState state;
    state.cold_.limits_ = {};
    markCold(state.cold_, ColdSource::Evacuation, now);
    BOOST_TEST((exclusionOf(state, now) == TargetExclusion::None));
    BOOST_TEST(!isCold(state.cold_, now));
    state.cold_.limits_ = limits;
    markCold(state.cold_, ColdSource::Evacuation, now);
    BOOST_TEST((exclusionOf(state, now) == TargetExclusion::ColdLimited));
}

// Guards against an end of the limit before the ramp-up, at which all entries send at once.
BOOST_AUTO_TEST_CASE(limit_doubles_after_the_cold_time_and_is_then_removed)
{
    ColdTarget cold = coldTarget();
    BOOST_TEST(!coldLimitAt(cold, now).has_value());
    markCold(cold, ColdSource::Start, now);
    const Time until = now + limits.time_;
    const std::vector<std::pair<Duration, double>> expected = {
        {-1us, 17}, {0ms, 17}, {499ms, 17}, {500ms, 34}, {1s, 68}, {1500ms, 136}, {2499ms, 272}};
    for (const auto &[past, limit] : expected)
        BOOST_TEST(coldLimitAt(cold, until + past).value_or(0) == limit);
    BOOST_TEST(!coldLimitAt(cold, until + 2500ms).has_value());
    BOOST_TEST((coldSendAt(cold, until + 3s) == until + 3s));
}

// Guards against a wrong Retry-After, and a request that is never retried.
BOOST_AUTO_TEST_CASE(time_of_the_next_send_is_when_a_quota_is_available)
{
    ColdTarget cold = coldTarget();
    markCold(cold, ColdSource::Start, now);
    const Time until = now + limits.time_;
    cold.share_ = {9, 29};
    BOOST_TEST((coldSendAt(cold, now) == until + 500ms));
    cold.share_ = {};
    BOOST_TEST((coldSendAt(cold, now) == until + 2500ms));
    cold.share_ = {0, 29};
    BOOST_TEST((coldSendAt(cold, now) == now));
    recordColdSend(cold, now);
    recordColdSend(cold, now);
    BOOST_TEST((coldSendAt(cold, now + 1s) == now + quotaWindow));
    // An entry that has restarted may have used its quota just before.
    cold.quotaFrom_ = now + 3s;
    BOOST_TEST((coldSendAt(cold, now) == now + 3s));
}

// Guards against a cold target that is chosen beyond its quota, and one that is never retried.
BOOST_AUTO_TEST_CASE(requests_go_to_other_targets_or_wait_for_the_quota)
{
    TargetState cold;
    cold.listed_.id_ = "cold";
    cold.cold_ = coldTarget();
    cold.cold_.share_ = {0, 29};
    TargetState other;
    other.listed_.id_ = "other";
    const auto place = [&](const std::vector<TargetState *> &targets) {
        return choosePlacement(targets, {.entries_ = 29}, now);
    };
    markCold(cold.cold_, ColdSource::Start, now);
    BOOST_TEST((place({&cold}).kind_ == PlacementKind::Send));
    recordColdSend(cold.cold_, now);
    recordColdSend(cold.cold_, now);
    BOOST_TEST(nameOf(targetExclusionNames, exclusionOf(cold, now)) == "cold_limited");
    BOOST_TEST((place({&cold, &other}).target_ == &other));
    const Placement waiting = place({&cold});
    BOOST_TEST((waiting.kind_ == PlacementKind::AwaitQuota));
    BOOST_TEST((waiting.pauseLeft_ == quotaWindow));
    // The wait is for whichever accepts requests first, and for a fault of another target.
    recordPause(other.notice_, 1s, 0, now);
    BOOST_TEST((place({&cold, &other}).kind_ == PlacementKind::AwaitPauseEnd));
    BOOST_TEST((place({&other, &cold}).pauseLeft_ == 1s));
    recordPause(other.notice_, 5s, 0, now);
    BOOST_TEST((place({&cold, &other}).kind_ == PlacementKind::AwaitQuota));
    TargetState avoided;
    avoided.avoidUntil_ = now + 1s;
    BOOST_TEST((place({&cold, &avoided}).kind_ == PlacementKind::AwaitTarget));
}

// Guards against a list entry from before a restart that ends the cold time of the new start.
BOOST_AUTO_TEST_CASE(list_entry_ends_the_cold_time_of_its_own_start_only)
{
    ColdTarget cold = coldTarget();
    applyReportedStart(cold, ReportedStart{5, true}, {6, true}, now);
    BOOST_TEST(isCold(cold, now));
    for (const std::uint64_t startedAt : {5U, 0U}) {
        applyListedCold(cold, listedTarget(startedAt, 0s), 1 + startedAt, now + 4s);
        BOOST_TEST(isCold(cold, now + 4s), "start " << startedAt);
    }
    applyListedCold(cold, listedTarget(6, 0s), 9, now + 4s);
    BOOST_TEST(!isCold(cold, now + 4s));
    BOOST_TEST(coldLimitAt(cold, now + 4s).value_or(0) == 17);
    // The next start is cold for the time that its own entry states.
    applyListedCold(cold, listedTarget(7, 2s), 10, now + 5s);
    BOOST_TEST((coldUntil(cold) == now + 7s));
    applyListedCold(cold, listedTarget(6, 0s), 11, now + 6s);
    BOOST_TEST((coldUntil(cold) == now + 7s));
}

// Guards against an entry written before the target became cold again without a restart.
BOOST_AUTO_TEST_CASE(list_entry_does_not_end_a_cold_time_that_began_after_it_was_written)
{
    for (const ColdSource source : {ColdSource::Evacuation, ColdSource::Up, ColdSource::Response}) {
        ColdTarget cold = coldTarget();
        markCold(cold, source, now);
        applyListedCold(cold, listedTarget(5, 0s), 1, now + 2s);
        BOOST_TEST(isCold(cold, now + 2s));
        applyListedCold(cold, listedTarget(5, 500ms), 2, now + 2s);
        BOOST_TEST((coldUntil(cold) == now + limits.time_));
        applyListedCold(cold, listedTarget(5, 0s), 3, now + 4s);
        BOOST_TEST(!isCold(cold, now + 4s));
    }
}

// Guards against the entry of a process that has ended, which stays in the list for a while.
BOOST_AUTO_TEST_CASE(list_entry_of_the_previous_start_does_not_end_the_cold_time_after_a_refusal)
{
    ColdTarget cold = coldTarget();
    markCold(cold, ColdSource::Refusal, now);
    applyListedCold(cold, listedTarget(5, 0s), 1, now + 5s);
    BOOST_TEST((coldUntil(cold) == now + limits.time_));
    applyListedCold(cold, listedTarget(6, 0s), 2, now + 5s);
    BOOST_TEST(!isCold(cold, now + 5s));
}

// Guards against a cold time that never ends because the same list entry is read repeatedly.
BOOST_AUTO_TEST_CASE(list_entry_that_is_read_again_does_not_extend_the_cold_time)
{
    ColdTarget cold = coldTarget();
    applyListedCold(cold, listedTarget(5, 3s), 1, now);
    applyListedCold(cold, listedTarget(5, 3s), 1, now + 2s);
    BOOST_TEST((coldUntil(cold) == now + 3s));
    // A later entry of the same start may state that the target became cold again.
    applyListedCold(cold, listedTarget(5, 3s), 2, now + 4s);
    BOOST_TEST((coldUntil(cold) == now + 7s));
}

// Guards against a response of the previous instance that ends the cold time of the new one.
BOOST_AUTO_TEST_CASE(response_ends_the_cold_time_if_its_request_was_sent_after_the_mark)
{
    ColdTarget cold = coldTarget();
    markCold(cold, ColdSource::Start, now);
    applyStatedCold(cold, {ColdForm::Stated, 0s}, now - 1ms, now + 1s);
    BOOST_TEST(isCold(cold, now + 1s));
    applyStatedCold(cold, {ColdForm::Stated, 9s}, now - 1ms, now + 1s);
    BOOST_TEST((coldUntil(cold) == now + 10s));
    applyStatedCold(cold, {ColdForm::Stated, 2s}, now + 1s, now + 2s);
    BOOST_TEST((coldUntil(cold) == now + 4s));
    applyStatedCold(cold, {ColdForm::Absent, {}}, now + 2s, now + 3s);
    BOOST_TEST(isCold(cold, now + 3s));
    applyStatedCold(cold, {ColdForm::Stated, 0s}, now + 2s, now + 3s);
    BOOST_TEST(!isCold(cold, now + 3s));
    applyStatedCold(cold, {ColdForm::Stated, 1s}, now + 8s, now + 9s);
    BOOST_TEST((coldUntil(cold) == now + 10s));
}

// Guards against a target that states invalid values and is then limited forever, or not at all.
BOOST_AUTO_TEST_CASE(invalid_value_makes_a_target_cold_once_for_each_start)
{
    ColdTarget cold = coldTarget();
    applyStatedCold(cold, invalidStatement, now, now);
    BOOST_TEST((coldUntil(cold) == now + limits.time_));
    applyStatedCold(cold, invalidStatement, now + 3s, now + 3s);
    ListedTarget listed = listedTarget(5, {});
    listed.cold_ = invalidStatement;
    applyListedCold(cold, listed, 1, now + 4s);
    BOOST_TEST((coldUntil(cold) == now + limits.time_));
    listed.startedAt_ = 6;
    applyListedCold(cold, listed, 2, now + 5s);
    BOOST_TEST((coldUntil(cold) == now + 5s + limits.time_));
}

// Guards against a start that goes unnoticed, and one that is counted twice.
BOOST_AUTO_TEST_CASE(reports_of_a_new_start_and_of_the_return_make_a_target_cold)
{
    struct Row
    {
        const char *what_;
        std::optional<ReportedStart> before_;
        ReportedStart report_;
        bool isCold_;
    };
    const std::vector<Row> rows = {
        {"no change", ReportedStart{5, true}, {5, true}, false},
        {"new start", ReportedStart{5, true}, {6, true}, true},
        {"new start of a target that is down", ReportedStart{5, true}, {6, false}, true},
        {"up again", ReportedStart{5, false}, {5, true}, true},
        {"down", ReportedStart{5, true}, {5, false}, false},
        {"first report of the listed start", std::nullopt, {5, true}, false},
        {"first report of a later start than listed", std::nullopt, {6, true}, true},
        {"first report of an earlier start than listed", std::nullopt, {4, true}, false},
        {"start that the list has stated before", ReportedStart{4, true}, {5, true}, false},
    };
    for (const Row &row : rows) {
        ColdTarget cold = coldTarget();
        applyReportedStart(cold, row.before_, row.report_, now);
        BOOST_TEST(isCold(cold, now) == row.isCold_, row.what_);
    }
}

// Guards against targets that are treated as warm until the entry has read the rules.
BOOST_AUTO_TEST_CASE(cold_time_is_known_also_if_the_rules_are_read_later)
{
    ColdTarget cold;
    applyListedCold(cold, listedTarget(5, 4s), 1, now);
    BOOST_TEST(!isColdLimited(cold, now));
    cold.limits_ = limits;
    BOOST_TEST(isColdLimited(cold, now + 1s));
    BOOST_TEST((coldUntil(cold) == now + 4s));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr int entryCount = 29;
constexpr int targetCount = 52;
constexpr Duration simulationStep = 10ms;
/// Probability that an entry has a request for a target in a step: 58 per second and target from
/// all entries, 3.4 times what a cold one can handle.
constexpr double warmLoad = 0.02;

/// Entries that send to targets which restart, in virtual time. Every entry always has requests for
/// a target that it counts as cold.
class ColdFleet
{
public:
    explicit ColdFleet(unsigned seed) : random_(seed), names_(entryNames(entryCount))
    {
        for (Target &target : targets_)
            target.startedAt_ = 1;
        for (int entry = 0; entry < entryCount; ++entry)
            restartEntry(entry, Time{} - quotaWindow);
    }

    void run(Duration length)
    {
        for (now_ = Time(1s); now_ < Time(1s) + length; now_ += simulationStep) {
            for (int target = 0; target < targetCount; ++target) {
                if (draw(0, 1) < 0.0005)
                    restartTarget(target);
            }
            std::erase_if(requests_, [&](const Request &request) {
                if (request.arrivesAt_ > now_)
                    return false;
                arrive(request);
                return true;
            });
            for (int entry = 0; entry < entryCount; ++entry)
                stepEntry(entry);
        }
    }

    /// Highest number of arrivals at a cold target within any second.
    std::size_t mostPerSecond() const
    {
        std::size_t most = 0;
        for (const Target &target : targets_) {
            std::vector<Time> times = target.arrivals_;
            std::sort(times.begin(), times.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= 1s)
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    std::size_t arrivals() const
    {
        std::size_t count = 0;
        for (const Target &target : targets_)
            count += target.arrivals_.size();
        return count;
    }

    /// Seconds for which targets were cold and accepted connections, all targets together.
    double coldSeconds_ = 0;

private:
    struct Target
    {
        std::uint64_t startedAt_ = 0;
        /// Accepts connections from this time on.
        Time upAt_;
        Time coldUntil_;
        /// Arrivals while the target was cold.
        std::vector<Time> arrivals_;
        std::uint64_t revision_ = 0;
    };

    /// What an entry learns, and when.
    struct Message
    {
        Time at_;
        int target_ = 0;
        std::function<void(TargetState &, Time)> apply_;
    };

    struct Entry
    {
        std::array<TargetState, targetCount> targets_;
        std::vector<Message> messages_;
        Time pausedUntil_;
    };

    /// A request on its way.
    struct Request
    {
        int entry_ = 0;
        int target_ = 0;
        Time sentAt_;
        Time arrivesAt_;
    };

    double draw(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }

    Duration drawDuration(Duration from, Duration to)
    {
        return std::chrono::duration_cast<Duration>(from + (to - from) * draw(0, 1));
    }

    /// The list of entries as one entry has it: up to three others are missing, one may be extra.
    void updateShares(int entry)
    {
        std::vector<std::string> view = names_;
        for (int missing = static_cast<int>(draw(0, 4)); missing > 0; --missing) {
            const auto each =
                view.begin() + static_cast<int>(draw(0, static_cast<double>(view.size())));
            if (*each != names_[entry])
                view.erase(each);
        }
        if (draw(0, 1) < 0.3)
            view.emplace_back("edge-gone");
        for (int target = 0; target < targetCount; ++target) {
            entries_[entry].targets_[target].cold_.share_ =
                limitShareOf(names_[entry], view, addressOf(target));
        }
    }

    /// The entry forgets its sends, and reads the list of targets.
    void restartEntry(int entry, Time at)
    {
        entries_[entry].messages_.clear();
        for (int target = 0; target < targetCount; ++target) {
            entries_[entry].targets_[target] = {};
            ColdTarget &cold = entries_[entry].targets_[target].cold_;
            cold.limits_ = limits;
            cold.quotaFrom_ = at + quotaWindow;
            const Duration left = targets_[target].coldUntil_ - at;
            applyListedCold(
                cold, listedTarget(targets_[target].startedAt_, std::max(left, Duration::zero())),
                targets_[target].revision_ + 1, at);
        }
        updateShares(entry);
    }

    void tell(int entry, int target, Duration after, std::function<void(TargetState &, Time)> apply)
    {
        entries_[entry].messages_.push_back({now_ + after, target, std::move(apply)});
    }

    void restartTarget(int number)
    {
        Target &target = targets_[number];
        if (now_ < target.coldUntil_)
            return;
        const std::uint64_t before = target.startedAt_++;
        target.upAt_ = now_ + drawDuration(500ms, 2s);
        target.coldUntil_ = target.upAt_ + limits.time_;
        coldSeconds_ += std::chrono::duration<double>(limits.time_).count();
        const std::uint64_t revision = target.revision_ += 2;
        for (int entry = 0; entry < entryCount; ++entry) {
            // An entry written before the restart, which states that the target is warm.
            tell(entry, number, drawDuration(0s, 4s), [=](TargetState &state, Time at) {
                applyListedCold(state.cold_, listedTarget(before, 0s), revision, at);
            });
            // One written when the target was up, which some entries get late.
            const bool isLate = draw(0, 1) < 0.2;
            const Duration written = target.upAt_ - now_;
            tell(entry, number, written + drawDuration(300ms, isLate ? 5s : 2s),
                 [=](TargetState &state, Time at) {
                     applyListedCold(state.cold_, listedTarget(before + 1, limits.time_),
                                     revision + 1, at);
                 });
            // The agent reports every 200 ms. Reports are lost, to some entries all of them.
            const double lost = draw(0, 1) < 0.05 ? 1 : 0.3;
            for (Duration sent{}; sent < written + 1s; sent += 200ms) {
                if (draw(0, 1) < lost)
                    continue;
                const ReportedStart report = {sent < written ? before : before + 1,
                                              sent >= written};
                tell(entry, number, sent + drawDuration(1ms, 300ms),
                     [=](TargetState &state, Time at) { applyReport(state, report, at); });
            }
        }
    }

    static void applyReport(TargetState &state, const ReportedStart &report, Time at)
    {
        // A report that arrives after a later one is ignored.
        if (state.hasAgentReport_ && report.startedAt_ < state.startedAt_)
            return;
        applyReportedStart(state.cold_,
                           state.hasAgentReport_
                               ? std::optional(ReportedStart{state.startedAt_, state.isUp_})
                               : std::nullopt,
                           report, at);
        state.hasAgentReport_ = true;
        state.startedAt_ = report.startedAt_;
        state.isUp_ = report.isUp_;
    }

    void stepEntry(int number)
    {
        Entry &entry = entries_[number];
        if (now_ < entry.pausedUntil_)
            return;
        if (draw(0, 1) < 0.0003)
            restartEntry(number, now_);
        if (draw(0, 1) < 0.002)
            updateShares(number);
        // The requests of this step are written after the pause, with the time from before it.
        const bool pauses = draw(0, 1) < 0.0003;
        if (pauses)
            entry.pausedUntil_ = now_ + drawDuration(100ms, 5s);
        std::erase_if(entry.messages_, [&](const Message &message) {
            if (message.at_ > now_)
                return false;
            message.apply_(entry.targets_[message.target_], now_);
            return true;
        });
        for (int target = 0; target < targetCount; ++target) {
            TargetState &state = entry.targets_[target];
            const bool hasRequest = isCold(state.cold_, now_) || draw(0, 1) < warmLoad;
            if (!hasRequest || !isUsable(state, now_))
                continue;
            recordColdSend(state.cold_, now_);
            requests_.push_back({number, target, now_,
                                 (pauses ? entry.pausedUntil_ : now_) + drawDuration(1ms, 150ms)});
        }
    }

    void arrive(const Request &request)
    {
        Target &target = targets_[request.target_];
        const Duration wayBack = drawDuration(1ms, 150ms);
        if (now_ < target.upAt_) {
            tell(request.entry_, request.target_, wayBack, [](TargetState &state, Time at) {
                markCold(state.cold_, ColdSource::Refusal, at);
            });
            return;
        }
        if (now_ < target.coldUntil_)
            target.arrivals_.push_back(request.arrivesAt_);
        const ColdStatement left = {ColdForm::Stated, std::max(target.coldUntil_ - now_, 0us)};
        tell(request.entry_, request.target_, wayBack,
             [left, sentAt = request.sentAt_](TargetState &state, Time at) {
                 applyStatedCold(state.cold_, left, sentAt, at);
             });
    }

    std::minstd_rand random_;
    std::vector<std::string> names_;
    std::array<Target, targetCount> targets_;
    std::array<Entry, entryCount> entries_;
    std::vector<Request> requests_;
    Time now_;
};

} // namespace

// Guards against more requests than a cold target can handle while entries restart, pause, have
// different lists of entries, or learn late or never that the target has restarted.
BOOST_AUTO_TEST_CASE(no_cold_target_gets_more_than_the_bound_in_any_second)
{
    const double bound = limits.perSecond_ * 1.5 + 5;
    const char *given = std::getenv("COLD_SEED"); // NOLINT(concurrency-mt-unsafe): one thread
    const unsigned firstSeed =
        given != nullptr ? static_cast<unsigned>(std::stoul(given)) : std::random_device{}();
    for (unsigned seed = firstSeed; seed < firstSeed + 2; ++seed) {
        ColdFleet fleet(seed);
        fleet.run(40s);
        const double perSecond = static_cast<double>(fleet.arrivals()) / fleet.coldSeconds_;
        BOOST_TEST_MESSAGE("seed " << seed << ": most in a second " << fleet.mostPerSecond()
                                   << ", mean " << perSecond);
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(static_cast<double>(fleet.mostPerSecond()) <= bound);
        // Under half of what the target can handle would leave requests waiting for nothing.
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(perSecond >= limits.perSecond_ * 0.5);
    }
}
