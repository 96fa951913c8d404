#pragma once

/// How many tokens of each client account one entry may let run, so that all entries together stay
/// within the account's rate and burst. Pure.
///
/// An account has one bucket, of which each entry keeps its own picture: it takes out what it lets
/// run and what its peers tell that they did. For a peer that is not in mutual contact the bucket
/// fills slower by an equal share, and that peer in turn keeps to its share, so a cut between
/// entries never doubles an allowance. A start begins with a small level, so it needs no memory of
/// the use before it.

#include "Edge/windowsum.h"

#include <eelgrasscove/serving.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrasscove {

struct AllowanceSettings
{
    /// Silence after which a peer is no longer in contact: three of the messages that peers send
    /// each other.
    Duration heardWithin_ = std::chrono::milliseconds(700);
    /// The operator counts tokens over any such span. Its limit is the account's rate for the span
    /// and the burst.
    Duration window_ = std::chrono::seconds(8);
    /// Tokens that may run beyond the limit in a window.
    double slackTokens_ = 0;
    /// How long takes of peers may be unknown here.
    Duration tellPeriod_ = std::chrono::milliseconds(200);
};

/// What a peer has told.
struct PeerUsage
{
    /// Differs after a restart of the peer.
    std::int64_t startedAt_ = 0;
    /// How long the peer had run when it sent this.
    Duration age_{};
    Time heardAt_;
    /// The peer's message showed that it hears this entry as well.
    bool mutual_ = false;
    /// Tokens let run since its start.
    std::map<std::string, double> tokens_;
};

struct AccountBucket
{
    double level_ = 0;
    Time filledAt_;
    /// Let run here since the start, and since the peers were last told.
    double used_ = 0;
    double untold_ = 0;
    /// What peers told that they let run of late.
    WindowSum peersTook_{std::chrono::seconds(1)};
};

struct TokenAllowance
{
    AllowanceSettings settings_;
    /// Start of the process: buckets begin to fill then.
    Time startedAt_;
    std::map<std::string, AccountBucket> buckets_;
    /// Peers by VM; empty for one that was never heard.
    std::map<std::string, std::optional<PeerUsage>> peers_;
};

/// Whether the account may let so many tokens run now.
bool mayTake(TokenAllowance &allowance, const ServingAccount &account, double tokens, Time now);

/// Time until that many tokens are there, if nothing else takes them.
Duration timeUntil(const TokenAllowance &allowance, const ServingAccount &account, double tokens);

/// Takes tokens that are let run, or gives back (negative) those of a request that never ran.
void takeTokens(TokenAllowance &allowance, const std::string &account, double tokens);

/// Sets who the other entries are.
void setPeers(TokenAllowance &allowance, const std::set<std::string> &vms);

/// Takes note of a peer's message.
void hearUsage(TokenAllowance &allowance, const std::string &vm, PeerUsage usage);

/// This entry's tokens since its start, for its message to the peers; they count as told.
std::map<std::string, double> tellUsage(TokenAllowance &allowance);

} // namespace eelgrasscove
