#include "Edge/ruleindex.h"

#include <algorithm>
#include <cctype>

namespace eelgrasscove {

RuleIndex::RuleIndex(ServingRules rules) : rules_(std::move(rules))
{
    for (const ServingRoute &route : rules_.routes_)
        routesByHost_[route.host_].push_back(&route);
    for (auto &[host, routes] : routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) {
            return left->pathPrefix_.size() > right->pathPrefix_.size();
        });
    }
    for (const ServingAccount &account : rules_.accounts_) {
        for (const std::string &key : account.keys_)
            accountsByKey_[key] = &account;
    }
    for (const ServedService &service : rules_.services_)
        servicesByName_[service.name_] = &service;
}

const ServingRoute *RuleIndex::findRoute(std::string_view host, std::string_view target) const
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    const auto routes = routesByHost_.find(name);
    if (routes == routesByHost_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const ServingRoute *route : routes->second) {
        if (path.starts_with(route->pathPrefix_))
            return route;
    }
    return nullptr;
}

const ServingAccount *RuleIndex::findAccountByKey(std::string_view key) const
{
    const auto found = accountsByKey_.find(std::string(key));
    return found == accountsByKey_.end() ? nullptr : found->second;
}

const ServedService *RuleIndex::findService(const std::string &name) const
{
    const auto found = servicesByName_.find(name);
    return found == servicesByName_.end() ? nullptr : found->second;
}

const std::string &selectService(const ServingRoute &route, double draw)
{
    double total = 0;
    for (const ServiceShare &share : route.services_)
        total += std::max(share.weight_, 0.0);
    double remaining = draw * total;
    for (const ServiceShare &share : route.services_) {
        remaining -= std::max(share.weight_, 0.0);
        if (remaining < 0)
            return share.service_;
    }
    return route.services_.back().service_;
}

} // namespace eelgrasscove
