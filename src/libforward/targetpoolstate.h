/// \file targetpoolstate.h
/// State that a pool of connections to targets shares with its connections.
#pragma once

#include "targetpool.h"

namespace wigeonsill {

struct TargetPool::Private
{
    boost::asio::io_context &io;
    Metrics &metrics;
    const WireDialect &dialect;
    std::map<std::string, std::vector<std::shared_ptr<TargetConnection>>, std::less<>> idle = {};
};

} // namespace wigeonsill
