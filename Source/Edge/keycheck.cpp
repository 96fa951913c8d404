#include "Edge/keycheck.h"

namespace eelgrasscove {

bool dependsOnKeys(const ServingRules &rules, const ServingRoute &route, std::string_view key)
{
    return !route.open_ && (needsKeys(rules) || !key.empty());
}

KeyVerdict judgeKey(const RuleIndex &rules, const ServingRoute &route, std::string_view key)
{
    if (route.open_)
        return KeyVerdict::OpenRoute;
    if (key.empty())
        return needsKeys(rules.rules()) ? KeyVerdict::Missing : KeyVerdict::NotNeeded;
    // Also where the rules list no accounts: a writer that leaves out empty members publishes such
    // rules when it removes the last account, whose keys are withdrawn.
    return rules.findAccountByKey(key) != nullptr ? KeyVerdict::Known : KeyVerdict::Unknown;
}

} // namespace eelgrasscove
