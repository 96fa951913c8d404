#include "Store/storeera.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"

namespace eelgrasscove {

StoreEraEvidence recordStoreEra(StoreEraState &known, std::optional<std::uint64_t> era,
                                std::uint64_t changesAtSend)
{
    if (!era) {
        known.hasRespondedWithout_ = known.hasRespondedWithout_ || !known.era_;
        return StoreEraEvidence::Current;
    }
    if (known.era_ == era)
        return StoreEraEvidence::Current;
    if (known.era_ && *era < *known.era_ && changesAtSend != known.changes_)
        return StoreEraEvidence::Late;
    const bool isFirst = !known.era_ && !known.hasRespondedWithout_;
    known.era_ = era;
    if (isFirst)
        return StoreEraEvidence::Current;
    ++known.changes_;
    return StoreEraEvidence::Changed;
}

StoreEraEvidence StoreEra::observe(std::optional<std::uint64_t> era, std::uint64_t changesAtSend)
{
    const std::uint64_t before = number();
    const StoreEraEvidence evidence = recordStoreEra(state_, era, changesAtSend);
    if (evidence == StoreEraEvidence::Late) {
        countMetric("eelgrasscove_store_late_responses_total");
        eventLog().note("store.response_late", "era", era.value_or(0), "known_era", number());
    }
    if (evidence == StoreEraEvidence::Changed) {
        countMetric("eelgrasscove_store_era_changes_total");
        eventLog().note("store.era_changed", "from", before, "to", number(), "consequence",
                        "earlier revisions and leases are void, all keys are read again");
    }
    if (number() != before)
        setGauge("eelgrasscove_store_era", "", static_cast<double>(number()));
    if (evidence == StoreEraEvidence::Changed) {
        for (const auto &onChanged : subscribers_)
            onChanged();
    }
    return evidence;
}

} // namespace eelgrasscove
