#pragma once

/// Limits the tokens of each client account that one entry admits, so that all entries together
/// stay within the account's rate and burst. Pure functions: no clock, I/O or threads.
///
/// Each account has one token bucket, whose level every entry tracks for itself: it deducts the
/// tokens that it admits and those that its peers report. For each peer that is not in mutual
/// contact the bucket fills more slowly by an equal share, and that peer in turn is limited to its
/// share, so a network partition between entries never doubles an allowance. After a start the
/// level is low, so no record of earlier use is needed.

#include "Edge/windowsum.h"

#include <eelgrasscove/serving.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrasscove {

struct AllowanceSettings
{
    /// Time without a message after which a peer is no longer in contact: three intervals of the
    /// messages between peers.
    Duration contactTimeout_ = std::chrono::milliseconds(700);
    /// The operator counts tokens over any window of this length. The limit is the account's rate
    /// over the window plus the burst.
    Duration window_ = std::chrono::seconds(8);
    /// Tokens tolerated beyond the limit in a window.
    double slackTokens_ = 0;
    /// Maximum time for which tokens admitted by a peer are not known to this entry.
    Duration reportPeriod_ = std::chrono::milliseconds(200);
};

/// The last usage report of a peer.
struct PeerUsage
{
    /// Start time of the peer, which changes with a restart.
    std::int64_t startedAt_ = 0;
    /// Time from the peer's start to this report.
    Duration uptime_{};
    Time receivedAt_;
    /// The peer's message showed that it receives this entry's messages as well.
    bool isMutual_ = false;
    /// Tokens that the peer admitted since its start, by account.
    std::map<std::string, double> tokens_;
};

struct AccountBucket
{
    /// Tokens available as of filledAt_; negative when overdrawn.
    double level_ = 0;
    Time filledAt_;
    /// Tokens admitted by this entry since its start.
    double used_ = 0;
    /// Tokens admitted by this entry since its last report to the peers.
    double unreported_ = 0;
    /// Tokens that peers reported as admitted, over the last second.
    WindowSum recentPeerTokens_{std::chrono::seconds(1)};
};

struct TokenAllowance
{
    AllowanceSettings settings_;
    /// Start time of the process, from which buckets fill.
    Time startedAt_;
    std::map<std::string, AccountBucket> buckets_;
    /// Last report of each peer, by VM; empty before the first one.
    std::map<std::string, std::optional<PeerUsage>> peers_;
};

/// Whether a request with this number of tokens may be admitted for the account now. False if the
/// number is negative or not finite.
bool canAdmit(TokenAllowance &allowance, const ServingAccount &account, double tokens, Time now);

/// Returns the time until this number of tokens is available, provided no other request takes them.
Duration timeUntilAvailable(const TokenAllowance &allowance, const ServingAccount &account,
                            double tokens);

/// Deducts the tokens of an admitted request. Here and below, a number of tokens that is negative
/// or not finite is invalid and leaves the account's bucket unchanged.
void deductTokens(TokenAllowance &allowance, const std::string &account, double tokens);

/// Returns the tokens of an admitted request that never ran.
void returnTokens(TokenAllowance &allowance, const std::string &account, double tokens);

/// Replaces the set of other entries.
void setPeers(TokenAllowance &allowance, const std::set<std::string> &vms);

/// Applies a peer's usage report; a report from an unknown VM is ignored.
void applyPeerUsage(TokenAllowance &allowance, const std::string &vm, PeerUsage usage);

/// Returns the tokens that this entry admitted since its start, by account, for its report to the
/// peers, and marks them as reported.
std::map<std::string, double> collectUsageReport(TokenAllowance &allowance);

} // namespace eelgrasscove
