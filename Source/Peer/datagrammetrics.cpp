#include "Peer/datagrammetrics.h"

#include "Observe/metrics.h"

#include <fmt/format.h>

namespace eelgrasscove {

void countDatagrams(std::string_view message, bool isWithinDataCentre, std::uint64_t datagrams,
                    std::size_t bytes)
{
    const std::string labels =
        fmt::format("message=\"{}\",data_centre=\"{}\"", message,
                    isWithinDataCentre ? std::string_view("own") : std::string_view("other"));
    countMetric("eelgrasscove_datagrams_sent_total", labels, datagrams);
    countMetric("eelgrasscove_datagram_bytes_sent_total", labels, datagrams * bytes);
}

} // namespace eelgrasscove
