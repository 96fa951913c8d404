#pragma once

/// What clients and targets saw in a soak, and the promises that it is checked against. Pure.

#include <eelgrasscove/time.h>

#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace soak {

using eelgrasscove::Duration;
using eelgrasscove::Time;
using namespace std::chrono_literals;

/// A request as its client saw it.
struct Asked
{
    std::string key_;
    bool once_ = false;
    bool stream_ = false;
    Time sentAt_;
    Time endedAt_;
    /// 0 for a connection that ended without an answer.
    unsigned status_ = 0;
    bool signed_ = false;
    /// The answer looked complete to the client.
    bool complete_ = false;
    std::string body_;
};

/// A run at a target.
struct Ran
{
    std::string target_;
    std::string account_;
    bool keyPassedOn_ = false;
    Time at_;
    /// The body that the target answered with; a stream's events joined.
    std::string body_;
};

struct Record
{
    std::map<std::string, Asked> asked_;
    std::map<std::string, std::vector<Ran>> ran_;
    std::map<std::string, std::string> accountOfKey_;
    /// When a key's withdrawal was acknowledged.
    std::map<std::string, Time> withdrawnAt_;
    /// When a target's leaving was acknowledged, while the store was sound.
    std::map<std::string, Time> leftAt_;
    /// Processes that ended with an error of their own, as when an address was taken.
    int endedThemselves_ = 0;
    Duration revoke_ = 2s;
    Duration drain_ = 2s;
    /// Longest time that a client is to wait for any answer.
    Duration timeout_ = 3s;
    /// No fault from here on.
    Time calmAt_;
    Duration recovery_ = 4s;
};

/// Whether one of the runs answered with the body.
inline bool gave(const std::vector<Ran> &runs, const std::string &body)
{
    return std::any_of(runs.begin(), runs.end(), [&](const Ran &run) { return run.body_ == body; });
}

/// What the runs of one request broke.
inline void addBrokenByRuns(const Record &record, const std::string &id,
                            std::vector<std::string> &broken)
{
    const Asked &asked = record.asked_.at(id);
    const auto found = record.ran_.find(id);
    if (found == record.ran_.end())
        return;
    const auto breaks = [&](const std::string &promise) {
        broken.push_back(fmt::format("{}: request {}", promise, id));
    };
    for (const Ran &run : found->second) {
        if (run.keyPassedOn_)
            breaks("keys end at the entry");
        if (run.account_ != record.accountOfKey_.at(asked.key_))
            breaks("the key's account");
        const auto withdrawn = record.withdrawnAt_.find(asked.key_);
        if (withdrawn != record.withdrawnAt_.end()
            && asked.sentAt_ > withdrawn->second + record.revoke_)
            breaks("withdrawn keys");
        const auto left = record.leftAt_.find(run.target_);
        if (left != record.leftAt_.end() && asked.sentAt_ > left->second + record.drain_ + 500ms)
            breaks("leaving targets");
    }
}

/// One line for each promise that was broken.
inline std::vector<std::string> brokenPromises(const Record &record)
{
    std::vector<std::string> broken;
    const auto breaks = [&](const std::string &promise, const std::string &id) {
        broken.push_back(fmt::format("{}: request {}", promise, id));
    };
    std::size_t calm = 0;
    std::size_t calmServed = 0;
    for (const auto &[id, asked] : record.asked_) {
        const auto found = record.ran_.find(id);
        const std::vector<Ran> none;
        const std::vector<Ran> &runs = found == record.ran_.end() ? none : found->second;
        if (asked.once_ && runs.size() > 1)
            breaks("at most once", id);
        const bool saysNotRun = asked.status_ == 503 || asked.status_ == 429;
        if (asked.once_ && saysNotRun && !runs.empty())
            breaks("\"not run\" is true", id);
        if (asked.status_ == 200 && asked.complete_) {
            if (!asked.signed_ || !gave(runs, asked.body_))
                breaks("whole answers of the right request", id);
        }
        addBrokenByRuns(record, id, broken);
        const bool answered = asked.endedAt_ != Time{};
        const auto withdrawn = record.withdrawnAt_.find(asked.key_);
        const bool keepsKey = withdrawn == record.withdrawnAt_.end()
            || asked.sentAt_ + record.timeout_ < withdrawn->second;
        if (asked.sentAt_ > record.calmAt_ + record.recovery_ && keepsKey && answered) {
            ++calm;
            calmServed += asked.status_ == 200 ? 1 : 0;
            if (asked.endedAt_ - asked.sentAt_ > record.timeout_ + 500ms)
                breaks("an answer in time", id);
        }
    }
    for (const auto &[id, runs] : record.ran_) {
        if (!record.asked_.contains(id))
            breaks("nothing that no client sent", id);
    }
    if (record.endedThemselves_ > 0)
        broken.push_back(fmt::format("processes stay: {} ended", record.endedThemselves_));
    if (calm > 0 && calmServed * 10 < calm * 9)
        broken.push_back(fmt::format("recovery: {} of {} served", calmServed, calm));
    return broken;
}

} // namespace soak
