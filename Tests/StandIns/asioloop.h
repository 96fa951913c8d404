#pragma once

/// The inside of EventLoop, for the sources that use Asio themselves.

#include "StandIns/http.h"

#include <boost/asio/io_context.hpp>

namespace standins {

struct EventLoop::Impl
{
    boost::asio::io_context context_;
};

} // namespace standins
