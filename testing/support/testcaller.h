#pragma once

#include "framework/global/json.h"
#include "framework/http/httpclient.h"

#include <functional>
#include <string>

namespace laburnummill::testing {

/// A caller that waits for each answer. Every request is a connection of its own.
class TestCaller
{
public:
    TestCaller(framework::Endpoint endpoint, std::string key);

    /// The answer; status 0 where there was none.
    auto request(const std::string& method, const std::string& path, const framework::Json& body = nullptr,
                 const framework::Headers& headers = {}) const -> framework::HttpResponse;

    auto get(const std::string& path) const -> framework::HttpResponse { return request("GET", path); }
    auto post(const std::string& path, const framework::Json& body = framework::Json::object()) const -> framework::HttpResponse
    {
        return request("POST", path, body);
    }
    auto put(const std::string& path, const framework::Json& body) const -> framework::HttpResponse { return request("PUT", path, body); }

private:
    framework::Endpoint m_endpoint;
    std::string m_key;
};

/// Waits until `condition` holds, at most half a minute; false where it never did.
auto waitUntil(const std::function<bool()>& condition) -> bool;

} // namespace laburnummill::testing
