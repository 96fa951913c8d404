#include "Edge/crashsuspects.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// The operator's bounds: time after the fifth crash, and requests that may reach targets after it.
constexpr Duration stableTime = 3s;
constexpr int allowedSends = 3;
constexpr int boundedCrashes = 5;

constexpr SuspectId deadlyPart = 9000;
constexpr SuspectId secondDeadlyPart = 9001;

struct FleetSettings
{
    int entries_ = 4;
    int targets_ = 18;
    double requestsPerSecond_ = 100;
    double deadlyFraction_ = 0.05;
    /// Entries restart one after the other at this interval; zero for never.
    Duration restartInterval_{};
    /// Crashes per second that no request caused.
    double otherCrashesPerSecond_ = 0;
    bool hasSecondPart_ = false;
};

struct DeadlyPartResult
{
    std::vector<Time> crashes_;
    std::vector<Time> sends_;
};

struct FleetResult
{
    std::map<SuspectId, DeadlyPartResult> deadly_;
    /// Sound requests that share the deadly requests' first parts, from twice the stable time after
    /// the fifth crash or the last.
    int soundRequests_ = 0;
    int soundRefused_ = 0;
};

/// Entries and targets in virtual time. An entry learns of a crash 150 ms after its connections
/// broke; messages between entries take 10 ms, and 3% of them are lost.
class Fleet
{
public:
    Fleet(const FleetSettings &settings, unsigned seed)
        : settings_(settings), random_(seed), entries_(settings.entries_),
          targetUpAt_(settings.targets_), targetStarts_(settings.targets_)
    { }

    FleetResult run()
    {
        for (now_ = Time(1s); now_ < Time(31s); now_ += step) {
            restartEntries();
            if (draw() < settings_.otherCrashesPerSecond_ * seconds(step))
                crash(static_cast<std::size_t>(draw() * settings_.targets_));
            if (draw() < settings_.requestsPerSecond_ * seconds(step))
                arrive();
            advanceRuns();
            confirmCrashes();
            if ((now_ - Time(1s)) % messagePeriod == 0s)
                exchange();
        }
        return result_;
    }

private:
    static constexpr Duration step = 5ms;
    static constexpr Duration messagePeriod = 200ms;
    static constexpr Duration firstEventTime = 80ms;
    static constexpr Duration soundTime = 300ms;
    static constexpr Duration confirmTime = 150ms;
    static constexpr Duration downTime = 3s;

    struct Run
    {
        RequestSuspects suspects_;
        std::size_t entry_ = 0;
        std::size_t target_ = 0;
        Time sentAt_;
        bool isSound_ = false;
        SuspectId deadly_ = 0;
    };

    struct Suspicion
    {
        RequestSuspects suspects_;
        std::size_t entry_ = 0;
        CrashId crash_ = 0;
        Time brokenAt_;
    };

    static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Duration jitter()
    {
        return std::chrono::duration_cast<Duration>(400ms * settings_.entries_ * draw());
    }

    void restartEntries()
    {
        if (settings_.restartInterval_ == 0s
            || (now_ - Time(1s)) % settings_.restartInterval_ != 0s)
            return;
        entries_[nextRestart_++ % entries_.size()] = {};
    }

    void arrive()
    {
        RequestSuspects request;
        request.request_ = 1000000 + ++requests_;
        const bool isSecondRoute = settings_.hasSecondPart_ && draw() < 0.3;
        const SuspectId first = isSecondRoute ? 20 : 10 + static_cast<SuspectId>(draw() * 3);
        const SuspectId second = 100 * first + static_cast<SuspectId>(draw() * draw() * 40);
        request.parts_ = {first, second};
        SuspectId deadly = 0;
        if (now_ > Time(5s) && now_ < Time(27s) && draw() < settings_.deadlyFraction_)
            deadly = deadlyPart;
        if (isSecondRoute)
            deadly = now_ > Time(12s) && draw() < settings_.deadlyFraction_ ? secondDeadlyPart : 0;
        if (deadly != 0)
            request.parts_ = {first, 100 * first, deadly};
        const auto entry = static_cast<std::size_t>(draw() * settings_.entries_);
        CrashSuspects &suspects = entries_[entry];
        const CrashVerdict verdict = judgeRequest(suspects, request, now_);
        if (deadly == 0 && !isSecondRoute && isJudged(deadlyPart)) {
            ++result_.soundRequests_;
            result_.soundRefused_ += verdict == CrashVerdict::Held ? 1 : 0;
        }
        if (verdict == CrashVerdict::Held) {
            recordHeld(suspects, request, now_);
            return;
        }
        const auto target = static_cast<std::size_t>(draw() * settings_.targets_);
        if (now_ < targetUpAt_[target])
            return;
        if (verdict == CrashVerdict::Trial) {
            recordTrial(suspects, request, jitter(), now_);
            sendFrom(entry);
        }
        if (deadly != 0)
            result_.deadly_[deadly].sends_.push_back(now_);
        runs_.push_back({request, entry, target, now_, false, deadly});
    }

    bool isJudged(SuspectId deadly)
    {
        const std::vector<Time> &crashes = result_.deadly_[deadly].crashes_;
        if (crashes.empty())
            return false;
        const std::size_t at = std::min<std::size_t>(crashes.size(), boundedCrashes) - 1;
        return now_ > crashes[at] + 2 * stableTime && now_ < Time(27s);
    }

    void advanceRuns()
    {
        std::vector<std::pair<std::size_t, SuspectId>> crashed;
        for (Run &run : runs_) {
            if (run.deadly_ != 0 && now_ - run.sentAt_ >= firstEventTime)
                crashed.emplace_back(run.target_, run.deadly_);
            else if (!run.isSound_ && now_ - run.sentAt_ >= firstEventTime + soundTime) {
                run.isSound_ = true;
                recordSound(entries_[run.entry_], run.suspects_, now_);
            }
        }
        for (const auto &[target, deadly] : crashed) {
            if (now_ < targetUpAt_[target])
                continue;
            result_.deadly_[deadly].crashes_.push_back(now_);
            crash(target);
        }
        std::erase_if(runs_, [&](const Run &run) { return now_ - run.sentAt_ > 2s; });
    }

    void crash(std::size_t target)
    {
        const CrashId id = static_cast<CrashId>(target * 1000 + targetStarts_[target]++);
        targetUpAt_[target] = now_ + downTime;
        std::erase_if(runs_, [&](const Run &run) {
            if (run.target_ == target && !run.isSound_)
                suspicions_.push_back({run.suspects_, run.entry_, id, now_});
            return run.target_ == target;
        });
    }

    void confirmCrashes()
    {
        std::erase_if(suspicions_, [&](const Suspicion &each) {
            if (now_ - each.brokenAt_ < confirmTime)
                return false;
            recordCrash(entries_[each.entry_], each.suspects_, each.crash_, each.brokenAt_,
                        jitter(), now_);
            return true;
        });
    }

    void exchange()
    {
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            sendFrom(entry);
            removeExpiredCrashSuspects(entries_[entry], now_);
        }
    }

    void sendFrom(std::size_t sender)
    {
        const auto report = crashReport(entries_[sender], now_);
        for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
            if (peer == sender || draw() < 0.03)
                continue;
            for (const ReportedCrashRecord &record : report)
                mergeCrashRecord(entries_[peer], record, jitter(), now_ + 10ms);
        }
    }

    FleetSettings settings_;
    std::mt19937 random_;
    std::vector<CrashSuspects> entries_;
    std::vector<Time> targetUpAt_;
    std::vector<std::uint32_t> targetStarts_;
    std::vector<Run> runs_;
    std::vector<Suspicion> suspicions_;
    std::size_t nextRestart_ = 0;
    SuspectId requests_ = 0;
    Time now_;
    FleetResult result_;
};

int sendsBeyondBound(const DeadlyPartResult &part)
{
    if (part.crashes_.size() < boundedCrashes)
        return 0;
    const Time bound = part.crashes_[boundedCrashes - 1] + stableTime;
    return static_cast<int>(std::count_if(part.sends_.begin(), part.sends_.end(),
                                          [&](Time sentAt) { return sentAt > bound; }));
}

const std::vector<std::pair<const char *, FleetSettings>> &fleets()
{
    static const std::vector<std::pair<const char *, FleetSettings>> rows = {
        {"4 entries", {4, 18, 100, 0.05, 0s, 0, false}},
        {"29 entries", {29, 52, 190, 0.05, 0s, 0, false}},
        {"many deadly requests", {4, 18, 100, 0.3, 0s, 0, false}},
        {"entries restart", {4, 18, 100, 0.05, 2s, 0, false}},
        {"targets crash for other reasons", {4, 18, 100, 0.05, 0s, 1, false}},
        {"a second part, restarts and other crashes", {29, 52, 190, 0.05, 1s, 1, true}},
    };
    return rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_targets_do_not_keep_reaching_targets)
{
    for (const auto &[name, settings] : fleets()) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            BOOST_TEST_CONTEXT(name << ", seed " << seed)
            {
                const FleetResult result = Fleet(settings, seed).run();
                for (const auto &[deadly, part] : result.deadly_)
                    BOOST_TEST(sendsBeyondBound(part) <= allowedSends);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(sound_requests_that_share_parts_with_deadly_ones_are_served)
{
    for (const auto &[name, settings] : fleets()) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            BOOST_TEST_CONTEXT(name << ", seed " << seed)
            {
                const FleetResult result = Fleet(settings, seed).run();
                BOOST_TEST(result.soundRequests_ > 100);
                BOOST_TEST(result.soundRefused_ * 2 < result.soundRequests_);
            }
        }
    }
}
