#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

#include <system_error>

namespace laburnummill::framework {

/// A value or a typed failure. The failure is a module's own error enum behind std::error_code.
template<class T>
using Result = boost::outcome_v2::std_result<T>;

/// A failure where the value's own type could be made from one, as JSON can.
template<class Error>
auto failure(Error error) -> boost::outcome_v2::failure_type<std::error_code>
{
    return boost::outcome_v2::failure(std::error_code(error));
}

/// The success of a function that yields nothing else.
inline auto success() -> boost::outcome_v2::success_type<void>
{
    return boost::outcome_v2::success();
}

} // namespace laburnummill::framework
