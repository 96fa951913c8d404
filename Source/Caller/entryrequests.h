#pragma once

/// The steps of one request at an entry. Private to the entry's decisions.

#include "Caller/entry.h"

namespace eelgrasscove {

/// Takes in a new request: checks its key and route, reserves its tokens, offers it.
void takeCallerRequest(Entry &entry, CallerRequest call, Time now, EntryActions &actions);

void takeCallerGone(Entry &entry, const CallerGone &gone, Time now, EntryActions &actions);

/// Tries to go on with a request that waits for tokens or for a target.
void advance(Entry &entry, PendingRequest &request, Time now, EntryActions &actions);

/// Goes on with every request that waits, in order of arrival, and gives up on overdue ones.
void advanceWaiting(Entry &entry, Time now, EntryActions &actions);

/// Refuses the waiting requests whose key or route the rules no longer hold.
void recheckWaiting(Entry &entry, Time now, EntryActions &actions);

/// Answers the caller with an error and forgets the request.
void failRequest(Entry &entry, const RequestId &id, const ApiError &error, Time now,
                 EntryActions &actions);

/// Forgets an answered request.
void endRequest(Entry &entry, const RequestId &id, EntryActions &actions, RequestRecord record);

/// How the request would be recorded if it ended now.
RequestRecord recordOf(const Entry &entry, const PendingRequest &request);

/// Offers the request to a target; false where none takes work now.
bool offerRequest(Entry &entry, PendingRequest &request, Time now, EntryActions &actions);

/// Takes in what a target process says of an attempt.
void takeAttemptMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions);

/// The offer surely wasn't sent.
void takeSendFailed(Entry &entry, const SendFailed &failed, Time now, EntryActions &actions);

/// Asks about silent attempts and settles overdue ones.
void watchAttempts(Entry &entry, Time now, EntryActions &actions);

/// Asks about every attempt behind a link that has come back.
void askAfterLinkUp(Entry &entry, const std::string &address, EntryActions &actions);

/// Stops an attempt whose answer nobody wants any more.
void abandonAttempt(Entry &entry, const AttemptId &id, EntryActions &actions);

/// An id for the request's next attempt.
AttemptId nextAttempt(Entry &entry);

/// Whole seconds for a Retry-After header, at least one.
std::uint32_t retrySeconds(Duration wait);

/// The id that an answer names: the caller's own where it gave one.
const std::string &replyId(const CallerRequest &call, const RequestId &id);

/// Tokens that the request reserves.
std::int64_t tokensOf(const PendingRequest &request);

} // namespace eelgrasscove
