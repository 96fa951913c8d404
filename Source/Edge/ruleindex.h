#pragma once

/// Indexes the serving rules for lookup by host and path, API key and service name.

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

    /// Returns the host's route with the longest matching path prefix, or null if none matches.
    /// host may contain a port and is case-insensitive; target may contain a query.
    const ServingRoute *findRoute(std::string_view host, std::string_view target) const;

    /// Returns null for an unknown key.
    const ServingAccount *findAccountByKey(std::string_view key) const;
    /// Returns null for an unknown name.
    const ServedService *findService(const std::string &name) const;

private:
    ServingRules rules_;
    /// Routes of each host, longest path prefix first.
    std::unordered_map<std::string, std::vector<const ServingRoute *>> routesByHost_;
    std::unordered_map<std::string, const ServingAccount *> accountsByKey_;
    std::unordered_map<std::string, const ServedService *> servicesByName_;
};

/// Selects the service for a request of the route, by weight. draw is in [0, 1); equal values
/// select the same service.
const std::string &selectService(const ServingRoute &route, double draw);

} // namespace eelgrasscove
