#include "Edge/keycheck.h"

namespace eelgrasscove {

bool dependsOnKeys(const ServingRules &rules, const ServingRoute &route)
{
    return !route.open_ && needsKeys(rules);
}

KeyVerdict judgeKey(const RuleIndex &rules, const ServingRoute &route, std::string_view key)
{
    if (route.open_)
        return KeyVerdict::OpenRoute;
    if (!needsKeys(rules.rules()))
        return KeyVerdict::NotNeeded;
    if (key.empty())
        return KeyVerdict::Missing;
    return rules.findAccountByKey(key) != nullptr ? KeyVerdict::Known : KeyVerdict::Unknown;
}

} // namespace eelgrasscove
