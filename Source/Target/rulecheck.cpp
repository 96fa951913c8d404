#include "Target/rulecheck.h"

#include "Contract/rulequery.h"

namespace eelgrasscove {

namespace {

Reason checkKey(const Rules &rules, const Offer &offer)
{
    if (offer.keyId_.empty())
        return Reason::None;
    const auto key = rules.keys_.find(offer.keyId_);
    const bool valid = key != rules.keys_.end() && key->second.account_ == offer.account_;
    return valid ? Reason::None : Reason::KeyWithdrawn;
}

/// Returns the account that the offer's key authenticates; empty if the offer has no key.
AccountName keyedAccount(const Offer &offer)
{
    return offer.keyId_.empty() ? AccountName{} : offer.account_;
}

bool matchesRoute(const RouteRule &route, const Offer &offer, const TargetGroup &group)
{
    return route.adapter_ == offer.adapter_ && route.idempotent_ == offer.idempotent_
        && route.targets_ == group;
}

Reason checkRoute(const Rules &rules, const Offer &offer, const TargetGroup &group)
{
    const auto route = rules.routes_.find(offer.route_);
    if (route == rules.routes_.end() || !canUse(route->second, keyedAccount(offer)))
        return Reason::UnknownRoute;
    return matchesRoute(route->second, offer, group) ? Reason::None : Reason::RulesStale;
}

} // namespace

Reason checkOffer(const Rules &rules, const Offer &offer, const TargetGroup &group)
{
    Reason reason = checkKey(rules, offer);
    if (reason == Reason::None)
        reason = checkRoute(rules, offer, group);
    if (reason != Reason::None && rules.revision_ < offer.rulesRevision_)
        return Reason::RulesStale;
    return reason;
}

} // namespace eelgrasscove
