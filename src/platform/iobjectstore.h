#pragma once

#include "framework/global/async.h"
#include "platform/platformerrors.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::platform {

/// The platform's object store. Objects are written whole; a name written twice holds the later body.
class IObjectStore
{
public:
    static constexpr std::string_view s_serviceName = "platform.objects";

    virtual ~IObjectStore() = default;

    virtual auto put(std::string name, std::string body) -> framework::AsyncResult<void> = 0;
    virtual auto read(std::string name) -> framework::AsyncResult<std::string> = 0;
    virtual auto remove(std::string name) -> framework::AsyncResult<void> = 0;

    /// Names that begin with `prefix`, in order.
    virtual auto list(std::string prefix) -> framework::AsyncResult<std::vector<std::string>> = 0;
};

} // namespace laburnummill::platform
