#pragma once

/// Whether a target process may run an offer by its own revision of the rules. Pure.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/rules.h>

namespace eelgrasscove {

/// None where the offer may run. KeyWithdrawn and UnknownRoute are certain; RulesStale means that
/// either side has yet to learn of a change, and the entry should decide again. group is this
/// target's own.
Reason checkOffer(const Rules &rules, const Offer &offer, const TargetGroup &group);

} // namespace eelgrasscove
