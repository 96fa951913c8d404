#pragma once

/// What an entry or a target process asks of the rules for one request. Pointers stay valid as long
/// as the rules do.

#include <eelgrasscove/rules.h>

#include <string>
#include <string_view>

namespace eelgrasscove {

/// The key with this digest; null where there is none.
const KeyRule *keyOf(const Rules &rules, const std::string &digest);

/// The adapter route that a request names as its model; null where there is none.
const RouteRule *adapterRoute(const Rules &rules, const RouteName &route);

/// The service route for a call: the longest prefix of whole path segments first, then an exact
/// method before "*", then one that the account may use. path may carry a query. Null where no
/// route fits, and for paths with "." or ".." segments, empty segments, backslashes or encoded
/// slashes and dots, which a target could read as another path.
const RouteRule *serviceRoute(const Rules &rules, std::string_view method, std::string_view path,
                              const AccountName &account = {});

/// Whether the account may use the route; an empty account only on routes open to all.
bool mayUse(const RouteRule &route, const AccountName &account);

} // namespace eelgrasscove
