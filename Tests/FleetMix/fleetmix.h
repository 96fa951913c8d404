#pragma once

/// Entries, target processes, engines, links and the platform together in virtual time, under a
/// seeded mix of failures. The decisions are the product's own; all around them is faked, and keeps
/// the record that the properties are checked from.

#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove::mix {

/// What must hold for every seed.
enum class Property {
    AdapterNamed,
    NoUnloadInUse,
    KeysAccount,
    WithdrawnKey,
    TokenWindow,
    OwnWholeAnswer,
    NotRunIsNotRun,
    AtMostOnce,
    LeavingTakesNone,
    GracefulStop,
    RevisionsRise,
    ComesToRest,
};

constexpr NameTable<Property, 12> propertyNames = {{
    {Property::AdapterNamed, "the adapter run is one that the rules in force named"},
    {Property::NoUnloadInUse, "no adapter is unloaded in use"},
    {Property::KeysAccount, "only the key's account is charged"},
    {Property::WithdrawnKey, "nothing starts for a key known as withdrawn"},
    {Property::TokenWindow, "no window runs more than burst + rate * window"},
    {Property::OwnWholeAnswer, "a caller gets its own whole answer, once"},
    {Property::NotRunIsNotRun, "what was told not run never ran and never does"},
    {Property::AtMostOnce, "what may not be repeated starts at most once"},
    {Property::LeavingTakesNone, "a leaving target starts nothing new"},
    {Property::GracefulStop, "a graceful stop cuts nothing off"},
    {Property::RevisionsRise, "revisions never go down on a process"},
    {Property::ComesToRest, "every request ends in time, and all comes to rest"},
}};

struct Violation
{
    Property property_ = Property::AdapterNamed;
    std::string what_;
};

/// How often a mix's parts came up, to see that they do.
struct Counts
{
    std::uint64_t calls_ = 0;
    std::uint64_t wholeAnswers_ = 0;
    std::uint64_t toldNotRun_ = 0;
    std::uint64_t toldUnknown_ = 0;
    std::uint64_t resends_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t unloads_ = 0;
    std::uint64_t failures_ = 0;
    /// Accounts of which some window came within a tenth of its bound.
    std::uint64_t fullWindows_ = 0;
};

struct MixResult
{
    std::vector<Violation> violations_;
    Counts counts_;
};

/// Runs one seed. A sabotage breaks the wiring so that its property must fail; log tells on
/// standard output what happens.
MixResult runMix(std::uint64_t seed, const Property *sabotage = nullptr, bool log = false);

} // namespace eelgrasscove::mix
