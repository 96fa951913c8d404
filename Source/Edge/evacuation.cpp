#include "Edge/evacuation.h"

#include <algorithm>
#include <set>

namespace eelgrasscove {

std::vector<EvacuationChange> applyEvacuationList(Evacuations &known,
                                                  const std::vector<EvacuationItem> &listed,
                                                  std::uint64_t listRevision, Time now)
{
    Evacuations current;
    std::vector<EvacuationChange> changes;
    for (const EvacuationItem &item : listed) {
        if (item.isEnded_)
            continue;
        const auto before = known.find(item.dataCentre_);
        const bool isNew = before == known.end() && !current.contains(item.dataCentre_);
        current[item.dataCentre_] = {before == known.end() ? now : before->second.learnedAt_,
                                     item.revision_};
        if (isNew)
            changes.push_back({item.dataCentre_, item.revision_, true});
    }
    for (const auto &[dataCentre, evacuation] : known) {
        if (!current.contains(dataCentre))
            changes.push_back({dataCentre, listRevision, false});
    }
    known = std::move(current);
    return changes;
}

void forgetRevisions(Evacuations &known)
{
    for (auto &[dataCentre, evacuation] : known)
        evacuation.revision_ = 0;
}

void addUnlisted(std::vector<EvacuationItem> &listed, const Evacuations &known)
{
    std::set<std::string> names;
    for (const EvacuationItem &item : listed)
        names.insert(item.dataCentre_);
    for (const auto &[dataCentre, evacuation] : known) {
        if (!names.contains(dataCentre))
            listed.push_back({dataCentre, evacuation.revision_, false});
    }
}

std::optional<EvacuationChange> applyEvacuationEvent(Evacuations &known,
                                                     const EvacuationItem &event, Time now)
{
    const auto before = known.find(event.dataCentre_);
    if (before == known.end()) {
        if (event.isEnded_)
            return std::nullopt;
        known[event.dataCentre_] = {now, event.revision_};
        return EvacuationChange{event.dataCentre_, event.revision_, true};
    }
    Evacuation &evacuation = before->second;
    if (event.revision_ <= evacuation.revision_)
        return std::nullopt;
    if (!event.isEnded_) {
        evacuation.revision_ = event.revision_;
        return std::nullopt;
    }
    known.erase(before);
    return EvacuationChange{event.dataCentre_, event.revision_, false};
}

bool isEvacuated(const Evacuations &known, std::string_view dataCentre)
{
    return !dataCentre.empty() && known.contains(std::string(dataCentre));
}

Duration confirmationBound(Duration revokeBound, std::optional<Duration> evacuationBound)
{
    return std::min(revokeBound, evacuationBound.value_or(revokeBound));
}

} // namespace eelgrasscove
