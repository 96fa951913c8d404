/// Draws fleets in which many targets crash together, with and without a prompt part that crashes
/// targets, and states both error rates: sound requests that are refused because of one of their
/// parts, and requests with the guilty part that reach targets beyond the bound.

#include "Edge/crashsuspects.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// The bound: requests that may reach targets later than this time after the third crash.
constexpr Duration stableTime = 4s;
constexpr int allowedSends = 3;
constexpr std::size_t boundedCrashes = 3;

constexpr SuspectId guiltyPart = 9000;
constexpr Time crowdAt(20s);
constexpr Time endAt(36s);

struct CrowdSettings
{
    std::size_t entries_ = 4;
    std::size_t targets_ = 18;
    double requestsPerSecond_ = 100;
    int crowds_ = 1;
    std::size_t crowdTargets_ = 10;
    Duration crowdSpread_ = 300ms;
    /// Fraction of the requests of the first account that have the guilty part; 0 for none.
    double guiltyFraction_ = 0;
    Time guiltyFrom_ = crowdAt;
    /// The part runs on targets without crashing them before it becomes guilty.
    bool wasSound_ = false;
    /// Entries restart one after the other at this interval; zero for never.
    Duration restartInterval_{};
};

struct CrowdResult
{
    int soundRequests_ = 0;
    int soundRefused_ = 0;
    std::vector<Time> guiltyCrashes_;
    std::vector<Time> guiltySends_;
};

class CrowdFleet
{
public:
    CrowdFleet(const CrowdSettings &settings, std::uint64_t seed)
        : settings_(settings), random_(seed), entries_(settings.entries_), upAt_(settings.targets_),
          starts_(settings.targets_)
    { }

    CrowdResult run()
    {
        for (now_ = Time(1s); now_ < endAt; now_ += step) {
            if (settings_.restartInterval_ > 0s
                && (now_ - Time(1s)) % settings_.restartInterval_ == 0s)
                entries_[nextRestart_++ % entries_.size()] = {};
            crashCrowd();
            double due = settings_.requestsPerSecond_ * seconds(step);
            while (due > 0) {
                if (draw() < due)
                    arrive(drawRequest());
                due -= 1;
            }
            advanceRuns();
            deliver();
            if ((now_ - Time(1s)) % messagePeriod == 0s) {
                for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
                    sendFrom(entry);
                    removeExpiredCrashSuspects(entries_[entry], now_);
                }
            }
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
    static constexpr int accounts = 4;

    struct Run
    {
        RequestSuspects suspects_;
        std::size_t entry_ = 0;
        std::size_t target_ = 0;
        Time sentAt_;
        bool isGuilty_ = false;
        bool isSound_ = false;
        int sends_ = 1;
    };

    struct Crash
    {
        CrashId crash_ = 0;
        std::uint32_t requests_ = 0;
        Time at_;
        std::vector<Run> broken_;
    };

    static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::size_t drawIndex(std::size_t size)
    {
        return static_cast<std::size_t>(draw() * static_cast<double>(size));
    }
    Duration jitter()
    {
        return std::chrono::duration_cast<Duration>(400ms * settings_.entries_ * draw());
    }

    void crashCrowd()
    {
        // The second crowd comes when the targets of the first are back.
        for (int crowd = 0; crowd < settings_.crowds_; ++crowd) {
            if (now_ != crowdAt + crowd * 5s)
                continue;
            std::vector<std::size_t> targets(settings_.targets_);
            std::iota(targets.begin(), targets.end(), 0);
            std::shuffle(targets.begin(), targets.end(), random_);
            targets.resize(settings_.crowdTargets_);
            for (const std::size_t target : targets) {
                const auto at =
                    std::chrono::duration_cast<Duration>(settings_.crowdSpread_ * draw());
                crowd_.emplace_back(now_ + at, target);
            }
        }
        std::erase_if(crowd_, [&](const auto &each) {
            if (each.first > now_)
                return false;
            if (now_ >= upAt_[each.second])
                crash(each.second);
            return true;
        });
    }

    Run drawRequest()
    {
        Run run;
        run.suspects_.request_ = 1000000 + ++requests_;
        // Half of the requests are of the first account; all of an account share its first part.
        const auto account = std::min<SuspectId>(drawIndex(2 * accounts), accounts);
        const SuspectId first = 10 + account;
        run.suspects_.parts_ = {first, 100 * first + static_cast<SuspectId>(draw() * draw() * 40)};
        const bool isOfFirst = first == 10 + accounts;
        if (isOfFirst && draw() < settings_.guiltyFraction_
            && (settings_.wasSound_ || now_ >= settings_.guiltyFrom_)) {
            run.suspects_.parts_ = {first, 100 * first, guiltyPart};
            run.isGuilty_ = now_ >= settings_.guiltyFrom_;
        }
        run.entry_ = drawIndex(settings_.entries_);
        return run;
    }

    void arrive(Run run)
    {
        CrashSuspects &suspects = entries_[run.entry_];
        const CrashVerdict verdict = judgeRequest(suspects, run.suspects_, now_);
        const bool hasGuilty = run.suspects_.parts_.back() == guiltyPart;
        const std::optional<SuspectId> held = findHeldSuspect(suspects, run.suspects_);
        if (!hasGuilty && now_ >= crowdAt) {
            ++result_.soundRequests_;
            // A whole request that was at two crashes is held by its count, which isn't judged
            // here.
            result_.soundRefused_ +=
                verdict == CrashVerdict::Held && held != run.suspects_.request_ ? 1 : 0;
        }
        if (verdict == CrashVerdict::Held) {
            recordHeld(suspects, run.suspects_, now_);
            return;
        }
        run.target_ = drawIndex(settings_.targets_);
        if (now_ < upAt_[run.target_])
            run.target_ = drawIndex(settings_.targets_);
        if (now_ < upAt_[run.target_])
            return;
        if (verdict == CrashVerdict::Trial) {
            recordTrial(suspects, run.suspects_, jitter(), now_);
            sendFrom(run.entry_);
        }
        if (run.isGuilty_)
            result_.guiltySends_.push_back(now_);
        run.sentAt_ = now_;
        runs_.push_back(std::move(run));
    }

    void advanceRuns()
    {
        for (Run &run : runs_) {
            if (run.isGuilty_ || run.isSound_ || now_ - run.sentAt_ < firstEventTime + soundTime)
                continue;
            run.isSound_ = true;
            recordSound(entries_[run.entry_], run.suspects_, now_);
        }
        std::vector<std::size_t> crashed;
        for (const Run &run : runs_) {
            if (run.isGuilty_ && now_ - run.sentAt_ >= firstEventTime)
                crashed.push_back(run.target_);
        }
        for (const std::size_t target : crashed) {
            if (now_ < upAt_[target])
                continue;
            result_.guiltyCrashes_.push_back(now_);
            crash(target);
        }
        std::erase_if(runs_, [&](const Run &run) { return now_ - run.sentAt_ > 2s; });
    }

    void crash(std::size_t target)
    {
        Crash crash{static_cast<CrashId>(target * 1000 + starts_[target]++), 0, now_, {}};
        upAt_[target] = now_ + downTime;
        std::erase_if(runs_, [&](const Run &run) {
            if (run.target_ != target)
                return false;
            ++crash.requests_;
            if (!run.isSound_)
                crash.broken_.push_back(run);
            return true;
        });
        crashes_.push_back(std::move(crash));
    }

    /// Agents' reports of crashes reach the entries, except one in fifty; broken requests are
    /// counted and then sent once more.
    void deliver()
    {
        std::vector<Run> repeated;
        std::erase_if(crashes_, [&](const Crash &crash) {
            if (now_ - crash.at_ < confirmTime)
                return false;
            for (CrashSuspects &entry : entries_) {
                if (draw() >= 0.02)
                    recordFleetCrash(entry.evidence_, crash.crash_, crash.requests_, now_);
            }
            for (const Run &run : crash.broken_) {
                recordCrash(entries_[run.entry_], run.suspects_, crash.crash_, crash.at_, jitter(),
                            now_);
                if (run.sends_ < 2)
                    repeated.push_back(run);
            }
            return true;
        });
        for (Run &run : repeated) {
            ++run.sends_;
            arrive(run);
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

    CrowdSettings settings_;
    std::mt19937_64 random_;
    std::vector<CrashSuspects> entries_;
    std::vector<Time> upAt_;
    std::vector<std::uint32_t> starts_;
    std::vector<Run> runs_;
    std::vector<Crash> crashes_;
    std::vector<std::pair<Time, std::size_t>> crowd_;
    std::size_t nextRestart_ = 0;
    SuspectId requests_ = 0;
    Time now_;
    CrowdResult result_;
};

struct CrowdRow
{
    const char *name_;
    CrowdSettings settings_;
    /// Largest share of sound requests refused for a part, over all seeds.
    double maxRefused_ = 0;
    /// Largest mean number of targets that the guilty part crashes. Before crashes were weighed it
    /// was, by row from the first with a guilty part: 2.9, 3.5, 8.3, 26.8, 4.7, 60 and 20.5.
    double maxCrashes_ = 0;
};

constexpr std::array crowdRows = {
    CrowdRow{"ten targets of 18", {4, 18, 100, 1, 10}, 0.005, 0},
    CrowdRow{"ten targets of 52, 22 entries", {22, 52, 300, 1, 10}, 0.005, 0},
    CrowdRow{"twice ten targets, spread over a second", {22, 52, 300, 2, 10, 1s}, 0.005, 0},
    CrowdRow{
        "ten targets, entries restart", {22, 52, 300, 1, 10, 300ms, 0, {}, false, 1s}, 0.005, 0},
    CrowdRow{"all ten targets, 4 entries", {4, 10, 100, 1, 10}, 0.005, 0},
    CrowdRow{"all ten targets twice, 22 entries", {22, 10, 100, 2, 10}, 0.01, 0},
    CrowdRow{"guilty part at the crash of all targets", {4, 10, 100, 1, 10, 300ms, 0.1}, 0.005, 8},
    CrowdRow{"guilty part at the crowd", {4, 18, 100, 1, 10, 300ms, 0.1}, 0.005, 8},
    CrowdRow{
        "guilty part before the crowd", {22, 52, 300, 1, 10, 300ms, 0.1, Time(12s)}, 0.005, 14},
    CrowdRow{"many guilty requests", {22, 52, 300, 1, 10, 300ms, 0.5, Time(21s)}, 0.005, 36},
    CrowdRow{"guilty part without a crowd", {4, 18, 100, 0, 10, 300ms, 0.1}, 0.005, 8},
};

/// Rows of which some seeds exceed the bound; see KNOWN-RED.txt.
constexpr std::array onceSoundRows = {
    CrowdRow{"part that was sound becomes guilty",
             {4, 18, 100, 0, 10, 300ms, 0.1, crowdAt, true},
             0.005,
             21},
    // The part's first crashes are taken for a part of the crowd, which delays its recognition.
    // Before crashes were weighed, up to 51 sends went beyond the bound.
    CrowdRow{"part that was sound becomes guilty in a crowd",
             {4, 18, 100, 1, 10, 300ms, 0.1, crowdAt, true},
             0.005,
             18},
};

constexpr int seedsPerRow = 20;

/// The seed of EELGRASSCOVE_SEED, or a random one.
std::uint64_t firstSeed()
{
    const char *text = std::getenv("EELGRASSCOVE_SEED"); // NOLINT(concurrency-mt-unsafe)
    return text != nullptr ? std::strtoull(text, nullptr, 10) : std::random_device{}();
}

int sendsBeyondBound(const CrowdResult &result)
{
    if (result.guiltyCrashes_.size() < boundedCrashes)
        return 0;
    const Time bound = result.guiltyCrashes_[boundedCrashes - 1] + stableTime;
    return static_cast<int>(std::count_if(result.guiltySends_.begin(), result.guiltySends_.end(),
                                          [&](Time sentAt) { return sentAt > bound; }));
}

template <std::size_t Size>
void playRows(const std::array<CrowdRow, Size> &rows)
{
    const std::uint64_t seed = firstSeed();
    BOOST_TEST_CONTEXT("EELGRASSCOVE_SEED=" << seed)
    {
        std::printf("crash crowds: EELGRASSCOVE_SEED=%llu\n",
                    static_cast<unsigned long long>(seed));
        for (const CrowdRow &row : rows) {
            int requests = 0;
            int refused = 0;
            int beyond = 0;
            std::size_t crashes = 0;
            std::size_t mostCrashes = 0;
            for (int each = 0; each < seedsPerRow; ++each) {
                const CrowdResult result = CrowdFleet(row.settings_, seed + each).run();
                requests += result.soundRequests_;
                refused += result.soundRefused_;
                beyond = std::max(beyond, sendsBeyondBound(result));
                crashes += result.guiltyCrashes_.size();
                mostCrashes = std::max(mostCrashes, result.guiltyCrashes_.size());
            }
            const double refusedShare = static_cast<double>(refused) / requests;
            const double meanCrashes = static_cast<double>(crashes) / seedsPerRow;
            std::printf("  %-46s sound refused %.4f (%d of %d); guilty: mean %.1f, most %zu "
                        "crashes, most %d sends beyond the bound\n",
                        row.name_, refusedShare, refused, requests, meanCrashes, mostCrashes,
                        beyond);
            BOOST_TEST_CONTEXT(row.name_)
            {
                BOOST_TEST(refusedShare <= row.maxRefused_);
                BOOST_TEST(beyond <= allowedSends);
                BOOST_TEST(meanCrashes <= row.maxCrashes_);
            }
        }
    }
}

} // namespace

/// Guards against sound requests that are refused because a part that most requests share was at
/// many crashes with a common cause, and against a guilty part that hides behind such crashes.
BOOST_AUTO_TEST_CASE(crashes_that_come_together_accuse_no_popular_part_and_hide_no_guilty_one)
{
    playRows(crowdRows);
}

/// Guards against a part that was frequent in sound responses and is never recognized when it
/// begins to crash targets.
BOOST_AUTO_TEST_CASE(part_that_was_sound_and_becomes_guilty_keeps_the_bound)
{
    playRows(onceSoundRows);
}
