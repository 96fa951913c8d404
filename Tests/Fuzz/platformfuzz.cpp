/// Replies and stored values of the platform, and processes' states, of any bytes.

#include "Contract/claimrecord.h"
#include "Operator/processstatus.h"
#include "Platform/etcdjson.h"
#include "Platform/rulehead.h"

#include <cstdlib>

using namespace eelgrasscove;

// libFuzzer demands the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    KvOperation operation;
    operation.conditions_ = {{"a", 0}};
    operation.reads_ = {{"a", true}};
    decodeOutcome(operation, "/e/", text);
    operation.grantLeaseSeconds_ = 1;
    decodeOutcome(operation, "/e/", text);
    decodeRefusal(500, text);
    decodeWatchLine(text, "/e/");
    decodeVmList(text);
    decodeStatus(text);
    const auto head = decodeRuleHead(text);
    // What is taken goes both ways.
    if (ok(head) && !ok(decodeRuleHead(encodeRuleHead(valueOf(head)))))
        std::abort();
    const auto claim = decodeClaimRecord(text);
    if (ok(claim) && !ok(decodeClaimRecord(encodeClaimRecord(valueOf(claim)))))
        std::abort();
    return 0;
}
