/// Rule files of any bytes: no crash, and faults that name a place within the file.

#include "Contract/rulefile.h"
#include "Contract/rulequery.h"

#include <algorithm>
#include <cstdlib>

using namespace eelgrasscove;

// libFuzzer demands the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto rules = parseRules(text, "fuzz", Revision{1});
    if (ok(rules)) {
        // The text serves as a path too.
        findServiceRoute(valueOf(rules), "GET", text, {"a"});
        return 0;
    }
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    for (const RuleError &error : errorOf(rules)) {
        if (error.line_ == 0 || error.line_ > lines || error.column_ == 0 || error.remedy_.empty())
            std::abort();
    }
    return 0;
}
