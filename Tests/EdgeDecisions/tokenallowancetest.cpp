#include "Edge/tokenallowance.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <limits>
#include <random>
#include <vector>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// The operator tolerates a tenth of the window's limit plus the slack beyond the limit.
constexpr double overshoot = 0.1;
constexpr double slack = 17000;
constexpr Duration window = 8s;
constexpr Duration tick = 10ms;
constexpr Duration reportPeriod = 200ms;

ServingAccount accountWith(double perSecond, double burst)
{
    ServingAccount account;
    account.name_ = "shed";
    account.tokensPerSecond_ = perSecond;
    account.burstTokens_ = burst;
    return account;
}

/// Simulates entries that report to each other, with clients that request a given number of tokens.
class Entries
{
public:
    Entries(std::size_t count, ServingAccount account)
        : account_(std::move(account)), entries_(count), startedAt_(count, Time(1s)),
          isPartitioned_(count, false)
    {
        for (std::size_t at = 0; at < count; ++at)
            start(at);
    }

    void start(std::size_t at)
    {
        entries_[at] = TokenAllowance{};
        entries_[at].settings_.slackTokens_ = slack;
        entries_[at].startedAt_ = now_;
        startedAt_[at] = now_;
        std::set<std::string> peers;
        for (std::size_t other = 0; other < entries_.size(); ++other) {
            if (other != at)
                peers.insert("entry-" + std::to_string(other));
        }
        setPeers(entries_[at], peers);
    }

    void setPartitioned(std::size_t at, bool partitioned) { isPartitioned_[at] = partitioned; }

    /// Runs for the span. Each entry receives requests of random size with the given total tokens
    /// per second.
    void run(Duration span, const std::vector<double> &requested)
    {
        for (const Time end = now_ + span; now_ < end; now_ += tick) {
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if ((now_.time_since_epoch() / tick + static_cast<int>(at) * 7)
                        % (reportPeriod / tick)
                    == 0)
                    report(at);
                request(at, requested[at] * 0.01);
            }
            deliverDelayed();
        }
    }

    /// Time from a report to its arrival at the other entries.
    Duration reportDelay_{};

    /// Returns the maximum number of tokens admitted in any window.
    double maxInWindow() const
    {
        double maximum = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, tokens] : admitted_) {
            sum += tokens;
            while (admitted_[first].first <= at - window)
                sum -= admitted_[first++].second;
            maximum = std::max(maximum, sum);
        }
        return maximum;
    }

    double admittedTokens() const
    {
        double sum = 0;
        for (const auto &[at, tokens] : admitted_)
            sum += tokens;
        return sum;
    }

    std::size_t refused_ = 0;

private:
    void report(std::size_t from)
    {
        const std::map<std::string, double> tokens = collectUsageReport(entries_[from]);
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (to == from || isPartitioned_[to] || isPartitioned_[from])
                continue;
            delayed_.push_back({now_ + reportDelay_, from, to, now_ - startedAt_[from], tokens});
        }
        deliverDelayed();
    }

    void deliverDelayed()
    {
        while (!delayed_.empty() && delayed_.front().arrivesAt_ <= now_) {
            const Report &report = delayed_.front();
            applyPeerUsage(entries_[report.to_], "entry-" + std::to_string(report.from_),
                           {startedAt_[report.from_].time_since_epoch().count(), report.uptime_,
                            now_, true, report.tokens_});
            delayed_.pop_front();
        }
    }

    void request(std::size_t at, double tokens)
    {
        // A random offset, so that requests do not arrive at all entries at the same time.
        while (pendingTokens_.size() < entries_.size())
            pendingTokens_.push_back(-std::uniform_real_distribution<double>(0, 4000)(random_));
        pendingTokens_[at] += tokens;
        while (pendingTokens_[at] > 0) {
            const double size = std::uniform_real_distribution<double>(300, 4000)(random_);
            pendingTokens_[at] -= size;
            if (canAdmit(entries_[at], account_, size, now_)) {
                deductTokens(entries_[at], account_.name_, size);
                admitted_.emplace_back(now_, size);
            } else {
                ++refused_;
            }
        }
    }

    struct Report
    {
        Time arrivesAt_;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        Duration uptime_{};
        std::map<std::string, double> tokens_;
    };

    ServingAccount account_;
    std::deque<Report> delayed_;
    std::vector<TokenAllowance> entries_;
    std::vector<Time> startedAt_;
    std::vector<bool> isPartitioned_;
    std::vector<double> pendingTokens_;
    std::deque<std::pair<Time, double>> admitted_;
    Time now_ = Time(1s);
    std::minstd_rand random_{7};
};

double windowBound(double perSecond, double burst)
{
    const double seconds = std::chrono::duration<double>(window).count();
    return (perSecond * seconds + burst) * (1 + overshoot) + slack;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tokenallowance)

BOOST_AUTO_TEST_CASE(an_overloaded_account_stays_within_its_limit_at_4_and_at_29_entries)
{
    for (const std::size_t count : {4U, 29U}) {
        for (const double rate : {4200.0, 130000.0}) {
            Entries entries(count, accountWith(rate, rate));
            entries.run(30s, std::vector<double>(count, rate * 8 / static_cast<double>(count)));
            BOOST_TEST(entries.maxInWindow() <= windowBound(rate, rate),
                       count << " entries, " << rate
                             << " tokens per second: " << entries.maxInWindow());
            // The account gets at least nine tenths of its rate.
            BOOST_TEST(entries.admittedTokens() >= rate * 30 * 0.9);
        }
    }
}

BOOST_AUTO_TEST_CASE(reports_that_arrive_late_by_a_relay_do_not_exceed_the_limit)
{
    for (const Duration delay : {0ms, 40ms, 80ms}) {
        for (const double rate : {60000.0, 192000.0}) {
            constexpr std::size_t count = 68;
            Entries entries(count, accountWith(rate, rate));
            entries.reportDelay_ = delay;
            // A quiet time fills the buckets before the account sends many times its usual.
            entries.run(10s, std::vector<double>(count, rate * 0.5 / count));
            entries.run(12s, std::vector<double>(count, rate * 6 / count));
            BOOST_TEST_MESSAGE("delay " << delay.count() << ", rate " << rate << ": "
                                        << entries.maxInWindow() / windowBound(rate, rate));
            BOOST_TEST(entries.maxInWindow() <= windowBound(rate, rate),
                       "delay " << delay.count() << " us, " << rate << " tokens per second");
            BOOST_TEST(entries.admittedTokens() >= rate * (5 + 12) * 0.9);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_limit_holds_while_one_entry_is_partitioned_and_afterwards)
{
    Entries entries(4, accountWith(130000, 130000));
    const std::vector<double> requestedPerSecond(4, 260000);
    entries.run(3s, requestedPerSecond);
    entries.setPartitioned(2, true);
    entries.run(12s, requestedPerSecond);
    entries.setPartitioned(2, false);
    entries.run(12s, requestedPerSecond);
    BOOST_TEST(entries.maxInWindow() <= windowBound(130000, 130000));
}

BOOST_AUTO_TEST_CASE(a_restart_of_all_entries_grants_no_additional_allowance)
{
    Entries entries(4, accountWith(100000, 100000));
    const std::vector<double> requestedPerSecond(4, 200000);
    entries.run(9s, requestedPerSecond);
    for (std::size_t at = 0; at < 4; ++at)
        entries.start(at);
    entries.run(9s, requestedPerSecond);
    BOOST_TEST(entries.maxInWindow() <= windowBound(100000, 100000));
}

BOOST_AUTO_TEST_CASE(ordinary_use_is_refused_at_most_three_times_including_after_a_restart)
{
    Entries entries(4, accountWith(100000, 100000));
    // The account's rate is 1.8 times its ordinary use; data centres differ in size.
    const std::vector<double> requestedPerSecond = {16000, 11000, 11000, 17000};
    entries.run(20s, requestedPerSecond);
    for (std::size_t at = 0; at < 4; ++at)
        entries.start(at);
    entries.run(20s, requestedPerSecond);
    BOOST_TEST(entries.refused_ <= 3);
}

BOOST_AUTO_TEST_CASE(an_account_without_a_limit_is_always_admitted)
{
    TokenAllowance allowance;
    BOOST_TEST(canAdmit(allowance, accountWith(0, 0), 1e9, Time(5s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(invalid_numbers_of_tokens_change_no_bucket)
{
    const ServingAccount account = accountWith(1000, 8000);
    constexpr double requestTokens = 2000;
    const std::vector<double> invalid = {std::nan(""),
                                         -std::nan(""),
                                         std::numeric_limits<double>::infinity(),
                                         -std::numeric_limits<double>::infinity(),
                                         -1,
                                         -1e300};
    for (unsigned seed = 1; seed <= 100; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            TokenAllowance allowance;
            allowance.startedAt_ = Time(1s);
            setPeers(allowance, {"entry-1"});
            // Receives the valid numbers only.
            TokenAllowance expected = allowance;
            double granted = 0;
            Time now = Time(10s);
            const Time startedAt = now;
            const auto draw = [&](std::size_t count) {
                return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
            };
            for (int step = 0; step < 400; ++step) {
                now += 20ms;
                const double tokens = invalid[draw(invalid.size())];
                switch (draw(4)) {
                case 0:
                    BOOST_TEST(!canAdmit(allowance, account, tokens, now));
                    deductTokens(allowance, "shed", tokens);
                    break;
                case 1:
                    returnTokens(allowance, "shed", tokens);
                    break;
                case 2:
                    applyPeerUsage(allowance, "entry-1",
                                   {1, 1s, now, true, {{"shed", tokens}, {"barn", 0}}});
                    applyPeerUsage(expected, "entry-1", {1, 1s, now, true, {{"barn", 0}}});
                    break;
                default:
                    BOOST_TEST(canAdmit(expected, account, requestTokens, now)
                               == canAdmit(allowance, account, requestTokens, now));
                    if (canAdmit(allowance, account, requestTokens, now)) {
                        deductTokens(allowance, "shed", requestTokens);
                        deductTokens(expected, "shed", requestTokens);
                        granted += requestTokens;
                    }
                    break;
                }
                for (const char *name : {"shed", "barn"}) {
                    BOOST_TEST(allowance.buckets_[name].level_ == expected.buckets_[name].level_);
                    BOOST_TEST(allowance.buckets_[name].used_ == expected.buckets_[name].used_);
                    BOOST_TEST(allowance.buckets_[name].unreported_
                               == expected.buckets_[name].unreported_);
                }
            }
            const double seconds = std::chrono::duration<double>(now - startedAt).count();
            BOOST_TEST(granted <= (1000 * seconds + 8000) * (1 + overshoot) + slack);
            BOOST_TEST(granted > 0);
        }
    }
}
