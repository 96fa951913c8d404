#pragma once

/// The data centres that operators have evacuated, as an entry knows them from the store. Pure
/// functions: no clock, I/O or threads.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

struct Evacuation
{
    /// Time at which this entry learned of it.
    Time learnedAt_;
    /// Revision of the store at which the evacuation was last written.
    std::uint64_t revision_ = 0;
};

/// Evacuations by data centre. Names that no target has are kept as well; targets of such a data
/// centre may be listed later.
using Evacuations = std::map<std::string, Evacuation>;

/// One evacuation as it was read from the store: its presence in a list, or an event.
struct EvacuationItem
{
    std::string dataCentre_;
    std::uint64_t revision_ = 0;
    /// The event is the removal of the key.
    bool isEnded_ = false;
};

/// An evacuation that has begun or ended at this entry.
struct EvacuationChange
{
    std::string dataCentre_;
    std::uint64_t revision_ = 0;
    bool isBegun_ = false;
};

/// Replaces the known evacuations by those of a complete list and returns the changes. An
/// evacuation that is not in the list has ended, whatever the revisions: a list holds the state of
/// the store at its revision or later.
std::vector<EvacuationChange> applyEvacuationList(Evacuations &known,
                                                  const std::vector<EvacuationItem> &listed,
                                                  std::uint64_t listRevision, Time now);

/// Records that the store has been restored from an older copy: revisions from before do not order
/// events after it.
void forgetRevisions(Evacuations &known);

/// Adds the known evacuations that the list of a restored store lacks. They may have been lost and
/// be written again.
void addUnlisted(std::vector<EvacuationItem> &listed, const Evacuations &known);

/// Applies an event of the watch. Events that are older than what is known are ignored, since a
/// watch repeats changes that the pages of a list already contain.
std::optional<EvacuationChange> applyEvacuationEvent(Evacuations &known,
                                                     const EvacuationItem &event, Time now);

/// Whether a target of this data centre may get nothing new. A target without a data centre is in
/// no evacuated one, also where the name of an evacuation is empty.
bool isEvacuated(const Evacuations &known, std::string_view dataCentre);

/// The time for which an entry may act on a confirmation of the operators' keys: the bound for
/// withdrawn keys, or for evacuations if that is set and lower.
Duration confirmationBound(Duration revokeBound, std::optional<Duration> evacuationBound);

} // namespace eelgrasscove
