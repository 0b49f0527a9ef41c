#pragma once

#include "routing/routetable.h"
#include "serving/callerrequest.h"
#include "serving/servingerrors.h"

namespace laburnummill::serving {

/// What the header of a request tells about who may send it, and where to.
struct Authorization
{
    const routing::Route* route = nullptr;
    std::string account; ///< empty if the route is open
    std::optional<Refusal> refusal;
};

/// Checks a request's route and key. `routes`: null if no configuration is known.
auto authorize(const routing::RouteTablePtr& routes, const CallerRequest& request) -> Authorization;

} // namespace laburnummill::serving
