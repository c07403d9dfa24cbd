#ifndef MEDLAR_TEST_SYSTEM_HARNESS_HTTP_HPP
#define MEDLAR_TEST_SYSTEM_HARNESS_HTTP_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace medlar::testing
{

/// @brief reply of an HTTP call; status 0: the connection broke or was refused
struct http_reply
{
    int status = 0;
    std::string text;

    /// @brief the body as JSON; null if it is none
    nlohmann::json json() const;
};

/// @brief one HTTP call, bounded by a timeout of 30 s
http_reply http_get(const endpoint& where, const std::string& path);
http_reply
http_post(const endpoint& where, const std::string& path, const nlohmann::json& body);

/// @brief Waits until @p condition holds; fails the test after 60 s.
/// @note the bound only ends a hanging test; no verdict depends on speed
void wait_until(const std::string& what, const std::function<bool()>& condition);

/// @brief milliseconds since 1970 now
std::int64_t wall_now_ms();

} // namespace medlar::testing

#endif // MEDLAR_TEST_SYSTEM_HARNESS_HTTP_HPP
