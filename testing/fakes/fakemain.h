#pragma once

#include "framework/http/ihttphandler.h"

namespace laburnummill::testing {

/// Runs a fake as a program: `PROGRAM HOST:PORT` until a termination signal or its parent's end of input.
auto runFake(int argc, char** argv, framework::IHttpHandler& handler) -> int;

} // namespace laburnummill::testing
