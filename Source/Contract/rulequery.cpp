#include "Contract/rulequery.h"

#include <algorithm>
#include <cctype>

namespace eelgrasscove {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return lower;
}

/// Whether every HTTP implementation interprets the path in the same way.
bool isPlainPath(std::string_view path)
{
    if (path.empty() || path.front() != '/' || path.find('\\') != std::string_view::npos)
        return false;
    const std::string lower = lowerCase(path);
    for (const std::string_view encoded : {"%2e", "%2f", "%5c", "%00"}) {
        if (lower.find(encoded) != std::string::npos)
            return false;
    }
    const std::string closed = lower + "/";
    const bool trailingSlash = lower.size() > 1 && lower.back() == '/';
    const std::string_view checked =
        trailingSlash ? std::string_view(lower) : std::string_view(closed);
    for (const std::string_view segment : {"//", "/./", "/../"}) {
        if (lower != "/" && checked.find(segment) != std::string_view::npos)
            return false;
    }
    return true;
}

/// Returns the precedence of the route for the call; 0 where it does not accept the method.
int matchRank(const RouteRule &route, std::string_view method, const AccountName &account)
{
    const int allowedBonus = canUse(route, account) ? 1 : 0;
    if (route.method_ == method)
        return 4 + allowedBonus;
    return route.method_ == "*" ? 2 + allowedBonus : 0;
}

const RouteRule *bestAtPrefix(const Rules &rules, const std::string &prefix,
                              std::string_view method, const AccountName &account)
{
    const auto found = rules.servicesByPrefix_.find(prefix);
    if (found == rules.servicesByPrefix_.end())
        return nullptr;
    const RouteRule *best = nullptr;
    int bestRank = 0;
    for (const RouteName &name : found->second) {
        const RouteRule &route = rules.routes_.at(name);
        const int rank = matchRank(route, method, account);
        if (rank > bestRank) {
            best = &route;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace

const KeyRule *findKeyRule(const Rules &rules, const std::string &digest)
{
    const auto id = rules.keyByDigest_.find(digest);
    if (id == rules.keyByDigest_.end())
        return nullptr;
    const auto key = rules.keys_.find(id->second);
    return key == rules.keys_.end() ? nullptr : &key->second;
}

const RouteRule *findAdapterRoute(const Rules &rules, const RouteName &route)
{
    const auto found = rules.routes_.find(route);
    if (found == rules.routes_.end() || found->second.kind_ != RouteKind::Adapter)
        return nullptr;
    return &found->second;
}

const RouteRule *findServiceRoute(const Rules &rules, std::string_view method,
                                  std::string_view path, const AccountName &account)
{
    const std::string_view plain = path.substr(0, path.find_first_of("?#"));
    if (!isPlainPath(plain))
        return nullptr;
    std::string prefix(plain);
    while (prefix.size() > 1 && prefix.back() == '/')
        prefix.pop_back();
    while (true) {
        const RouteRule *route = bestAtPrefix(rules, prefix, method, account);
        if (route != nullptr || prefix == "/")
            return route;
        prefix.resize(std::max<std::size_t>(prefix.rfind('/'), 1));
    }
}

bool canUse(const RouteRule &route, const AccountName &account)
{
    if (route.openToAll_)
        return true;
    const auto &accounts = route.accounts_;
    return std::find(accounts.begin(), accounts.end(), account) != accounts.end();
}

} // namespace eelgrasscove
