#pragma once

/// How many tokens of each client account one entry may let run, so that all entries together stay
/// within the account's limit in any window. Pure.
///
/// Entries tell each other what they have let run in the present window. What a peer has told and
/// heard counts as it is. For a peer that is not in mutual contact its equal share counts as used,
/// and it in turn keeps to its share, so a cut between entries never doubles an allowance.

#include "Edge/windowsum.h"

#include <array>

#include <eelgrasscove/serving.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrasscove {

struct AllowanceSettings
{
    Duration window_ = std::chrono::seconds(8);
    /// Silence after which a peer's last figure no longer counts as its present one: three of the
    /// messages that peers send each other.
    Duration heardWithin_ = std::chrono::milliseconds(700);
    /// A peer that left the list of entries may be cut off and serve on; its share counts for so
    /// long.
    Duration keepLeft_ = std::chrono::seconds(13);
};

struct PeerUsage
{
    Time heardAt_;
    /// The peer's message showed that it hears this entry as well.
    bool mutual_ = false;
    std::optional<Time> leftAt_;
    std::map<std::string, double> windowTokens_;
};

struct TokenAllowance
{
    AllowanceSettings settings_;
    /// Until this VM's record was read, all of its share counts as used; from then on, for one
    /// window, the part that the record may have missed.
    std::optional<Time> restoredAt_;
    std::map<std::string, WindowSum> used_;
    /// Tokens let run since the peers were last told.
    std::map<std::string, double> untold_;
    /// Peers by VM; those that left the list of entries are erased after keepLeft_.
    std::map<std::string, PeerUsage> peers_;
};

/// Tokens that may run now; infinite for an account without a limit.
double allowedTokens(TokenAllowance &allowance, const ServingAccount &account, Time now);

/// Takes tokens that are let run, or gives back (negative) those of a request that never ran.
void takeTokens(TokenAllowance &allowance, const std::string &account, double tokens, Time now);

/// Sets who the other entries are.
void setPeers(TokenAllowance &allowance, const std::set<std::string> &vms, Time now);

/// Takes note of a peer's message.
void hearUsage(TokenAllowance &allowance, const std::string &vm, bool mutual,
               std::map<std::string, double> windowTokens, Time now);

/// Tokens let run in each eighth of the window, the newest first.
using UsageParts = std::array<double, 8>;

/// What this entry let run, for its record in the store.
std::map<std::string, UsageParts> usageParts(TokenAllowance &allowance, Time now);

/// Whether the record differs so much from what was last written that it is to be written again.
bool usageMoved(TokenAllowance &allowance, const std::map<std::string, UsageParts> &written,
                Time writtenAt, const std::vector<ServingAccount> &accounts, Time now);

/// Takes up what this VM's earlier process had let run. The record is taken as written just now,
/// and what it may have missed counts as used for a whole window.
void restoreUsage(TokenAllowance &allowance, const std::map<std::string, UsageParts> &record,
                  Time now);

/// This entry's sums, for its message to the peers; what was let run counts as told.
std::map<std::string, double> ownUsage(TokenAllowance &allowance, Time now);

} // namespace eelgrasscove
