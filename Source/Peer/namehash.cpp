#include "Peer/namehash.h"

#include <xxhash.h>

namespace eelgrasscove {

NameHash nameHash(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

} // namespace eelgrasscove
