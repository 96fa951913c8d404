#include "Edge/ruleindex.h"

#include <algorithm>
#include <cctype>

namespace eelgrasscove {

RuleIndex::RuleIndex(ServingRules rules) : rules_(std::move(rules))
{
    for (const ServingRoute &route : rules_.routes_)
        routesOfHost_[route.host_].push_back(&route);
    for (auto &[host, routes] : routesOfHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) {
            return left->pathPrefix_.size() > right->pathPrefix_.size();
        });
    }
    for (const ServingAccount &account : rules_.accounts_) {
        for (const std::string &key : account.keys_)
            accountOfKey_[key] = &account;
    }
    for (const ServedService &service : rules_.services_)
        services_[service.name_] = &service;
}

const ServingRoute *RuleIndex::routeOf(std::string_view host, std::string_view target) const
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    const auto routes = routesOfHost_.find(name);
    if (routes == routesOfHost_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const ServingRoute *route : routes->second) {
        if (path.starts_with(route->pathPrefix_))
            return route;
    }
    return nullptr;
}

const ServingAccount *RuleIndex::accountOfKey(std::string_view key) const
{
    const auto found = accountOfKey_.find(std::string(key));
    return found == accountOfKey_.end() ? nullptr : found->second;
}

const ServedService *RuleIndex::service(const std::string &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

const std::string &serviceFor(const ServingRoute &route, double draw)
{
    double total = 0;
    for (const ServiceShare &share : route.services_)
        total += std::max(share.weight_, 0.0);
    double left = draw * total;
    for (const ServiceShare &share : route.services_) {
        left -= std::max(share.weight_, 0.0);
        if (left < 0)
            return share.service_;
    }
    return route.services_.back().service_;
}

} // namespace eelgrasscove
