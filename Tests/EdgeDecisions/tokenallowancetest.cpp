#include "Edge/tokenallowance.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <vector>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// The operator's bound: a window's limit, a tenth of it, and the slack.
constexpr double overshoot = 0.1;
constexpr double slack = 17000;
constexpr Duration window = 8s;
constexpr Duration tick = 10ms;
constexpr Duration telling = 200ms;

ServingAccount accountWith(double perSecond, double burst)
{
    ServingAccount account;
    account.name_ = "shed";
    account.tokensPerSecond_ = perSecond;
    account.burstTokens_ = burst;
    return account;
}

/// Entries that tell each other, with clients that ask far beyond the limit.
class Entries
{
public:
    Entries(std::size_t count, ServingAccount account)
        : account_(std::move(account)), entries_(count), startedAt_(count, Time(1s)),
          cut_(count, false)
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

    void cut(std::size_t at, bool off) { cut_[at] = off; }

    /// Plays so long; each entry is asked for so many tokens a second in requests of random size.
    void play(Duration span, const std::vector<double> &asked)
    {
        for (const Time end = now_ + span; now_ < end; now_ += tick) {
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if ((now_.time_since_epoch() / tick + static_cast<int>(at) * 7) % (telling / tick)
                    == 0)
                    tell(at);
                ask(at, asked[at] * 0.01);
            }
        }
    }

    /// The most tokens that were let run in any window.
    double mostInWindow() const
    {
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, tokens] : taken_) {
            sum += tokens;
            while (taken_[first].first <= at - window)
                sum -= taken_[first++].second;
            most = std::max(most, sum);
        }
        return most;
    }

    double taken() const
    {
        double sum = 0;
        for (const auto &[at, tokens] : taken_)
            sum += tokens;
        return sum;
    }

    std::size_t refused_ = 0;

private:
    void tell(std::size_t from)
    {
        const std::map<std::string, double> tokens = tellUsage(entries_[from]);
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (to == from || cut_[to] || cut_[from])
                continue;
            hearUsage(entries_[to], "entry-" + std::to_string(from),
                      {startedAt_[from].time_since_epoch().count(), now_ - startedAt_[from], now_,
                       true, tokens});
        }
    }

    void ask(std::size_t at, double tokens)
    {
        // Clients ask at any moment, not all entries at the same one.
        while (owed_.size() < entries_.size())
            owed_.push_back(-std::uniform_real_distribution<double>(0, 4000)(random_));
        owed_[at] += tokens;
        while (owed_[at] > 0) {
            const double size = std::uniform_real_distribution<double>(300, 4000)(random_);
            owed_[at] -= size;
            if (mayTake(entries_[at], account_, size, now_)) {
                takeTokens(entries_[at], account_.name_, size);
                taken_.emplace_back(now_, size);
            } else {
                ++refused_;
            }
        }
    }

    ServingAccount account_;
    std::vector<TokenAllowance> entries_;
    std::vector<Time> startedAt_;
    std::vector<bool> cut_;
    std::vector<double> owed_;
    std::deque<std::pair<Time, double>> taken_;
    Time now_ = Time(1s);
    std::minstd_rand random_{7};
};

double boundOf(double perSecond, double burst)
{
    const double seconds = std::chrono::duration<double>(window).count();
    return (perSecond * seconds + burst) * (1 + overshoot) + slack;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tokenallowance)

BOOST_AUTO_TEST_CASE(a_hot_account_stays_within_its_bound_at_four_and_at_29_entries)
{
    for (const std::size_t count : {4U, 29U}) {
        for (const double rate : {4200.0, 130000.0}) {
            Entries entries(count, accountWith(rate, rate));
            entries.play(30s, std::vector<double>(count, rate * 8 / static_cast<double>(count)));
            BOOST_TEST(entries.mostInWindow() <= boundOf(rate, rate),
                       count << " entries, " << rate << " a second: " << entries.mostInWindow());
            // The account gets what it is owed.
            BOOST_TEST(entries.taken() >= rate * 30 * 0.9);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_cut_entry_keeps_to_its_share_and_the_others_leave_it)
{
    Entries entries(4, accountWith(130000, 130000));
    const std::vector<double> asked(4, 260000);
    entries.play(3s, asked);
    entries.cut(2, true);
    entries.play(12s, asked);
    entries.cut(2, false);
    entries.play(12s, asked);
    BOOST_TEST(entries.mostInWindow() <= boundOf(130000, 130000));
}

BOOST_AUTO_TEST_CASE(a_start_of_all_entries_gives_no_new_allowance)
{
    Entries entries(4, accountWith(100000, 100000));
    const std::vector<double> asked(4, 200000);
    entries.play(9s, asked);
    for (std::size_t at = 0; at < 4; ++at)
        entries.start(at);
    entries.play(9s, asked);
    BOOST_TEST(entries.mostInWindow() <= boundOf(100000, 100000));
}

BOOST_AUTO_TEST_CASE(usual_use_is_never_refused_also_after_a_start)
{
    Entries entries(4, accountWith(100000, 100000));
    // An account has 1.8 times its usual use; data centres are of unequal size.
    const std::vector<double> asked = {16000, 11000, 11000, 17000};
    entries.play(20s, asked);
    for (std::size_t at = 0; at < 4; ++at)
        entries.start(at);
    entries.play(20s, asked);
    BOOST_TEST(entries.refused_ <= 3);
}

BOOST_AUTO_TEST_CASE(without_a_limit_all_may_run)
{
    TokenAllowance allowance;
    BOOST_TEST(mayTake(allowance, accountWith(0, 0), 1e9, Time(5s)));
}

BOOST_AUTO_TEST_SUITE_END()
