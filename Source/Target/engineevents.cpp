#include "Target/engineevents.h"

namespace eelgrasscove {

AdapterKey adapterFromModelName(std::string_view model)
{
    const std::size_t at = model.rfind('@');
    if (at == std::string_view::npos)
        return {.adapter_ = {std::string(model)}, .version_ = {}};
    return {.adapter_ = {std::string(model.substr(0, at))},
            .version_ = {std::string(model.substr(at + 1))}};
}

} // namespace eelgrasscove
