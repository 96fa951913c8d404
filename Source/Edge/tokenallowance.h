#pragma once

/// How many tokens of each client account one entry may let run, so that all entries together stay
/// within the account's limit in any window. Pure.
///
/// Entries tell each other what they have let run in the present window. What a peer has told and
/// heard counts as it is. For a peer that is not in mutual contact its equal share counts as used,
/// and it in turn keeps to its share, so a cut between entries never doubles an allowance.

#include "Edge/windowsum.h"

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
    /// A start forgets what the VM let run before, so the entry's share counts as used and becomes
    /// free over one window.
    Time startedAt_;
    std::map<std::string, WindowSum> used_;
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

/// This entry's sums, for its message to the peers.
std::map<std::string, double> ownUsage(TokenAllowance &allowance, Time now);

} // namespace eelgrasscove
