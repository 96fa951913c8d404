#pragma once

/// Homes: the regions in which the requests of a route or of an account may run. Pure functions: no
/// clock, I/O or threads.

#include <eelgrasscove/serving.h>

#include <map>
#include <string>

namespace eelgrasscove {

/// The region of each data centre.
using RegionTable = std::map<std::string, std::string>;

/// The homes that apply to a request; null for none. Where both are set, both apply.
struct RequestHomes
{
    const AllowedRegions *route_ = nullptr;
    const AllowedRegions *account_ = nullptr;
};

/// Returns the homes of a request of the route and the account, which is null for requests without
/// one.
RequestHomes homesOf(const ServingRoute &route, const ServingAccount *account);

/// Whether a request with these homes may run at a target of the data centre. A data centre whose
/// region is unknown is in no home.
bool isInHomes(const RequestHomes &homes, const RegionTable &regions,
               const std::string &dataCentre);

} // namespace eelgrasscove
