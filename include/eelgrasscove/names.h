#pragma once

/// Strongly typed names and numbers, so that an account can't be passed where an adapter is meant.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace eelgrasscove {

/// A name of one kind of thing; Tag keeps the kinds apart.
template <class Tag>
struct Name
{
    std::string text_;

    bool empty() const { return text_.empty(); }
    auto operator<=>(const Name &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A number of one kind of thing; Tag keeps the kinds apart.
template <class Tag>
struct Number
{
    std::uint64_t value_ = 0;

    auto operator<=>(const Number &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A virtual machine of the platform, as its list names it.
using VmName = Name<struct VmNameTag>;
using DataCentreName = Name<struct DataCentreNameTag>;
using RegionName = Name<struct RegionNameTag>;
/// A client account: the tenant that a key belongs to.
using AccountName = Name<struct AccountNameTag>;
/// The public id of a key. It isn't secret; the key itself never leaves the entry.
using KeyId = Name<struct KeyIdTag>;
using RouteName = Name<struct RouteNameTag>;
/// A group of equal targets, for example all runners of one base model or one plain service.
using TargetGroup = Name<struct TargetGroupTag>;
using AdapterName = Name<struct AdapterNameTag>;
using AdapterVersion = Name<struct AdapterVersionTag>;
/// One request of a caller, unique over all entries and their restarts.
using RequestId = Name<struct RequestIdTag>;
/// One try of a request at one target, unique over all entries and their restarts.
using AttemptId = Name<struct AttemptIdTag>;
/// Digest over account, route and body; equal for a request that its caller sends again.
using Fingerprint = Name<struct FingerprintTag>;

/// Revision of the rule file; only grows.
using Revision = Number<struct RevisionTag>;
/// Which run of a process on its VM: greater for every restart.
using Incarnation = Number<struct IncarnationTag>;
/// Number that orders the orders given to a target; only grows.
using FencingNumber = Number<struct FencingNumberTag>;

/// An adapter in one version: what an engine slot holds.
struct AdapterKey
{
    AdapterName adapter_;
    AdapterVersion version_;

    bool empty() const { return adapter_.empty(); }
    auto operator<=>(const AdapterKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// The name an engine serves the adapter under, for example "oak-legs@3".
inline std::string engineModelName(const AdapterKey &key)
{
    return key.adapter_.text_ + "@" + key.version_.text_;
}

} // namespace eelgrasscove

template <class Tag>
struct std::hash<eelgrasscove::Name<Tag>>
{
    std::size_t operator()(const eelgrasscove::Name<Tag> &name) const
    {
        return std::hash<std::string>()(name.text_);
    }
};

template <>
struct std::hash<eelgrasscove::AdapterKey>
{
    std::size_t operator()(const eelgrasscove::AdapterKey &key) const
    {
        const std::size_t adapter = std::hash<std::string>()(key.adapter_.text_);
        return adapter * 31 + std::hash<std::string>()(key.version_.text_);
    }
};
