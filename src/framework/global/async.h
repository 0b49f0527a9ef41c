#pragma once

#include "framework/global/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace laburnummill::framework {

namespace asio = boost::asio;

/// An asynchronous operation on the daemon's one executor.
template<class T>
using Async = asio::awaitable<T>;

/// An asynchronous operation that can fail.
template<class T>
using AsyncResult = asio::awaitable<Result<T>>;

} // namespace laburnummill::framework
