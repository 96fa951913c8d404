#pragma once

/// The contract between operators and the system: what one revision of the rule file says.

#include <eelgrasscove/names.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasscove {

/// What a client account may use, in tokens over the whole fleet.
struct AccountRule
{
    AccountName account_;
    std::int64_t tokensPerSecond_ = 0;
    std::int64_t burstTokens_ = 0;
};

/// A key, kept only as a keyed digest (lower-case hex of HMAC-SHA256).
struct KeyRule
{
    KeyId id_;
    AccountName account_;
    std::string digest_;
};

/// What a route leads to.
enum class RouteKind {
    /// Completions on a model engine with an adapter.
    Adapter,
    /// Calls passed through to a plain service.
    Service,
};

/// Where requests of one route run, and who may use it.
struct RouteRule
{
    RouteName route_;
    RouteKind kind_ = RouteKind::Adapter;
    /// The client accounts that may use the route; empty where it is open to all.
    std::vector<AccountName> accounts_;
    bool openToAll_ = false;
    bool idempotent_ = true;
    TargetGroup targets_;
    /// Set for RouteKind::Adapter.
    AdapterKey adapter_;
    /// HTTP method of a plain service's calls, "*" for any; set for RouteKind::Service.
    std::string method_;
    /// Path prefix of a plain service, for example "/records"; set for RouteKind::Service.
    std::string pathPrefix_;
};

/// One accepted revision of the rule file, indexed for requests.
struct Rules
{
    Revision revision_;
    std::map<AccountName, AccountRule> accounts_;
    std::map<KeyId, KeyRule> keys_;
    std::map<RouteName, RouteRule> routes_;
    /// Keys by digest, derived from keys_.
    std::map<std::string, KeyId> keyByDigest_;
    /// Service routes by path prefix (without a trailing slash), derived from routes_.
    std::map<std::string, std::vector<RouteName>> servicesByPrefix_;
};

} // namespace eelgrasscove
