#pragma once

/// Finds the accounts that have used more than their fair share of the tokens of one service and
/// priority, so that a single account does not take all capacity while others wait. Pure functions:
/// no clock, I/O or threads.

#include "Edge/windowsum.h"

#include <eelgrasscove/time.h>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace eelgrasscove {

/// Tokens of the requests that this entry has sent to targets, by service and priority, then by
/// account.
struct AccountUses
{
    std::map<std::pair<std::string, int>, std::map<std::string, WindowSum>> uses_;
};

/// Records a request that is sent to a target. A number of tokens that is negative or not finite is
/// invalid and ignored.
void recordAccountUse(AccountUses &uses, const std::string &service, int priority,
                      const std::string &account, double tokens, Time now);

/// Returns the accounts whose recent tokens exceed their share by weight. Accounts count if they
/// have recent tokens or are in weights, which has those of the accounts with waiting requests. An
/// account without a weight has that of the others on average.
std::set<std::string> accountsAboveShare(AccountUses &uses, const std::string &service,
                                         int priority, const std::map<std::string, double> &weights,
                                         Time now);

/// Drops what has not been used recently.
void removeExpiredUses(AccountUses &uses, Time now);

} // namespace eelgrasscove
