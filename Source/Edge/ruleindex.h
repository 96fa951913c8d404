#pragma once

/// The rules in the form in which requests look them up.

#include <eelgrasscove/serving.h>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace eelgrasscove {

class RuleIndex
{
public:
    explicit RuleIndex(ServingRules rules);

    RuleIndex(const RuleIndex &) = delete;
    RuleIndex &operator=(const RuleIndex &) = delete;

    const ServingRules &rules() const { return rules_; }

    /// The route of the host with the longest prefix of the path; null where there is none. host
    /// may have a port and any case, target a query.
    const ServingRoute *routeOf(std::string_view host, std::string_view target) const;

    const ServingAccount *accountOfKey(std::string_view key) const;
    const ServedService *service(const std::string &name) const;

private:
    ServingRules rules_;
    /// By host, longest prefix first.
    std::unordered_map<std::string, std::vector<const ServingRoute *>> routesOfHost_;
    std::unordered_map<std::string, const ServingAccount *> accountOfKey_;
    std::unordered_map<std::string, const ServedService *> services_;
};

/// The service that a request of the route goes to; the same draw gives the same service. draw is
/// in [0, 1).
const std::string &serviceFor(const ServingRoute &route, double draw);

} // namespace eelgrasscove
