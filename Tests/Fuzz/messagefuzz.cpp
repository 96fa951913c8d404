/// Messages between processes of any bytes: no crash, and what is read is written the same again.
/// Seeds are JSON; the fuzz target turns what is JSON into MessagePack first.

#include "Link/messagecodec.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace eelgrasscove;

namespace {

std::string asMessagePack(const std::string &text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return text;
    std::string bytes;
    nlohmann::json::to_msgpack(json, bytes);
    return bytes;
}

} // namespace

// libFuzzer demands the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto envelope = decodeEnvelope(asMessagePack(text));
    if (!ok(envelope)) {
        if (errorOf(envelope).message_.empty())
            std::abort();
        return 0;
    }
    const std::string bytes = encodeEnvelope(valueOf(envelope));
    const auto again = decodeEnvelope(bytes);
    if (!ok(again) || encodeEnvelope(valueOf(again)) != bytes)
        std::abort();
    return 0;
}
