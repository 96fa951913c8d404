#include "Net/sendqueue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace eelgrasscove {

std::size_t unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    const bool isKnown = descriptor >= 0 && ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return isKnown ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace eelgrasscove
