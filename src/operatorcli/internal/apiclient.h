#pragma once

#include "framework/global/json.h"
#include "framework/http/httptypes.h"

#include <string>

namespace laburnummill::operatorcli {

/// A response of the administration API. The status is 0 if no daemon responded.
struct ApiAnswer
{
    unsigned status = 0;
    framework::Json body;
};

/// Blocking client for the administration API of one daemon.
class ApiClient
{
public:
    ApiClient(framework::Endpoint daemon, std::string key);

    auto get(const std::string& path, const std::string& query = {}) const -> ApiAnswer;
    auto send(const std::string& method, const std::string& path, const framework::Json& body) const -> ApiAnswer;

    auto daemon() const -> const framework::Endpoint& { return m_daemon; }

private:
    auto request(framework::HttpRequest request) const -> ApiAnswer;

    framework::Endpoint m_daemon;
    std::string m_key;
};

} // namespace laburnummill::operatorcli
