#include "Edge/homes.h"

namespace eelgrasscove {

RequestHomes homesOf(const ServingRoute &route, const ServingAccount *account)
{
    RequestHomes homes;
    if (route.allowedRegions_)
        homes.route_ = &*route.allowedRegions_;
    if (account != nullptr && account->allowedRegions_)
        homes.account_ = &*account->allowedRegions_;
    return homes;
}

bool isInHomes(const RequestHomes &homes, const RegionTable &regions, const std::string &dataCentre)
{
    if (homes.route_ == nullptr && homes.account_ == nullptr)
        return true;
    const auto region = regions.find(dataCentre);
    if (region == regions.end())
        return false;
    return (homes.route_ == nullptr || homes.route_->contains(region->second))
        && (homes.account_ == nullptr || homes.account_->contains(region->second));
}

} // namespace eelgrasscove
