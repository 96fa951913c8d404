#pragma once

/// Recognizes that the platform's store has been restored from an older copy of itself.
///
/// A restored store has lost its latest changes and gives their revisions and leases out again, so
/// neither may be compared with those from before. It states in its responses an era that rises
/// with each restoration.

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace eelgrasscove {

/// What a process knows of the store's era.
struct StoreEraState
{
    /// Era of the last response that stated one; empty before it.
    std::optional<std::uint64_t> era_;
    /// Number of changes of the era. A call keeps the number at which it was sent.
    std::uint64_t changes_ = 0;
    /// The store has responded to a call before it stated an era.
    bool hasRespondedWithout_ = false;
};

enum class StoreEraEvidence {
    /// The response is of the known era, or states none.
    Current,
    /// The response is of another era than what has been read before.
    Changed,
    /// The response is of an earlier era and was sent before the change became known.
    Late,
};

constexpr NameTable<StoreEraEvidence, 3> storeEraEvidenceNames = {{
    {StoreEraEvidence::Current, "current"},
    {StoreEraEvidence::Changed, "changed"},
    {StoreEraEvidence::Late, "late"},
}};

/// Records the era of a response to a call that was sent at the given number of changes. A response
/// that states no era says nothing, so that a store without eras is served as one that is never
/// restored. A lower era in the response to a later call is a change as well: with a wrong header
/// once, no response would count ever after.
StoreEraEvidence recordStoreEra(StoreEraState &known, std::optional<std::uint64_t> era,
                                std::uint64_t changesAtSend);

/// The store's era, shared by all clients of the store in a process.
class StoreEra
{
public:
    /// Subscribes to changes of the era. The handlers are called in the order of their
    /// subscription, before the response that shows the change is passed on.
    void onChanged(std::function<void()> onChanged)
    {
        subscribers_.push_back(std::move(onChanged));
    }

    /// Records the era of a response, and reports a change to the subscribers.
    StoreEraEvidence observe(std::optional<std::uint64_t> era, std::uint64_t changesAtSend);

    /// Returns the number of changes since the start of the process.
    std::uint64_t changes() const { return state_.changes_; }
    /// Returns the era, or 0 if the store has stated none.
    std::uint64_t number() const { return state_.era_.value_or(0); }

private:
    StoreEraState state_;
    std::vector<std::function<void()>> subscribers_;
};

} // namespace eelgrasscove
