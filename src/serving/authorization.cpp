#include "serving/authorization.h"

namespace laburnummill::serving {

auto authorize(const routing::RouteTablePtr& routes, const CallerRequest& request) -> Authorization
{
    auto result = Authorization();
    if (!routes) {
        result.refusal = Refusal::NoConfiguration;
        return result;
    }
    result.route = routes->find(request.hostName, request.path);
    if (result.route == nullptr) {
        result.refusal = Refusal::UnknownRoute;
        return result;
    }
    if (!result.route->isOpen && !routes->configuration().accounts.empty()) {
        const auto* account = request.key ? routes->accountOfKey(*request.key) : nullptr;
        if (account == nullptr) {
            result.refusal = Refusal::UnknownKey;
            return result;
        }
        result.account = account->name;
    }
    return result;
}

} // namespace laburnummill::serving
