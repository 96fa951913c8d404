#pragma once

/// How an entry hears and tells who is there and how loaded it is. Private to the entry's
/// decisions.

#include "Caller/entry.h"

namespace eelgrasscove {

/// Takes in a heartbeat.
void takeEntryHeartbeat(Entry &entry, const Envelope &envelope, const Heartbeat &heartbeat,
                        Time now, EntryActions &actions);

/// Takes in a load report, a summary or news of VMs; false where the message is of another kind.
bool takeLoadMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions);

/// Takes in a reading of the list: tells what is new in it, and when to read again.
void takeEntryVmList(Entry &entry, const VmList &list, Time now, EntryActions &actions);

/// Tells the drained VMs again where that is due.
void tellDrainsAgain(Entry &entry, Time now, EntryActions &actions);

/// Opens links to the targets that other data centres named for the group.
void linkToSpares(const Entry &entry, const TargetGroup &group, Time now, EntryActions &actions);

} // namespace eelgrasscove
