#pragma once

/// Single calls of the key-value service: how they stand in HTTP, and a form that waits for the
/// reply, for the operators' tool and for tests.

#include "Platform/httpclient.h"
#include "Vm/settings.h"

#include <eelgrasscove/platform.h>

#include <string>

namespace eelgrasscove {

/// The HTTP call of an operation.
HttpCall httpCallOf(const KvOperation &operation, const PlatformSettings &settings);

/// The operation's outcome, as exact as the reply allows.
KvOutcome outcomeOf(const KvOperation &operation, const std::string &prefix,
                    const HttpReply &reply);

/// Makes calls one after the other, waiting for each.
class BlockingClient
{
public:
    explicit BlockingClient(PlatformSettings settings);

    HttpReply http(HttpCall call);
    KvOutcome keyValue(const KvOperation &operation);

    const PlatformSettings &settings() const { return settings_; }

private:
    PlatformSettings settings_;
    HttpClient client_;
};

} // namespace eelgrasscove
