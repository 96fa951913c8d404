#pragma once

/// Looks up the key and the route of one request in the rules, for entry and target processes.
/// Returned pointers are valid for the lifetime of the rules.

#include <eelgrasscove/rules.h>

#include <string>
#include <string_view>

namespace eelgrasscove {

/// Returns the key with this digest, or null where there is none.
const KeyRule *findKeyRule(const Rules &rules, const std::string &digest);

/// Returns the adapter route that a request names as its model, or null where there is none.
const RouteRule *findAdapterRoute(const Rules &rules, const RouteName &route);

/// Returns the service route for a call. The longest prefix of whole path segments takes
/// precedence, then an exact method over "*", then a route that the account may use. path may
/// include a query. Returns null where no route matches, and for paths with "." or ".." segments,
/// empty segments, backslashes, encoded slashes, backslashes, dots or null bytes, which a target
/// could interpret as another path.
const RouteRule *findServiceRoute(const Rules &rules, std::string_view method,
                                  std::string_view path, const AccountName &account = {});

/// Whether the account may use the route. An empty account may use only routes open to all.
bool canUse(const RouteRule &route, const AccountName &account);

} // namespace eelgrasscove
