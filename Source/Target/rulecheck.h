#pragma once

/// Checks whether a target process may run an offer under its own revision of the rules. Pure
/// functions: no clock, I/O or threads.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/rules.h>

namespace eelgrasscove {

/// Returns None if the offer may run. KeyWithdrawn and UnknownRoute are definite; RulesStale means
/// that the entry or the target has not received a rule change yet, and that the entry should
/// evaluate the request again. group is this target's own group.
Reason checkOffer(const Rules &rules, const Offer &offer, const TargetGroup &group);

} // namespace eelgrasscove
