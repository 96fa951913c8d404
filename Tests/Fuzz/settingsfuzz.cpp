/// INI files of any bytes, as settings of the daemon and of the operators' tool.

#include "Operator/operatorsettings.h"
#include "Vm/settings.h"

#include <cstdlib>

using namespace eelgrasscove;

namespace {

void checkFaults(const std::vector<SettingsError> &errors)
{
    for (const SettingsError &error : errors) {
        if (error.message_.empty() || error.remedy_.empty())
            std::abort();
    }
}

} // namespace

// libFuzzer demands the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto settings = parseSettings(text, "fuzz");
    if (!ok(settings))
        checkFaults(errorOf(settings));
    const auto operators = parseOperatorSettings(text, "fuzz");
    if (!ok(operators))
        checkFaults(errorOf(operators));
    return 0;
}
