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

    /// @brief the parsed body; a discarded value if it is not valid JSON
    nlohmann::json json() const;
};

/// @brief Makes one HTTP call with a timeout of 30 s.
http_reply http_get(const endpoint& where, const std::string& path);
http_reply
http_post(const endpoint& where, const std::string& path, const nlohmann::json& body);

/// @brief Waits until @p condition holds; fails the test after 60 s.
/// @note the timeout only ends a test that hangs; no assertion depends on speed
void wait_until(const std::string& what, const std::function<bool()>& condition);

/// @brief current wall-clock time in milliseconds since 1970
std::int64_t wall_now_ms();

} // namespace medlar::testing

#endif // MEDLAR_TEST_SYSTEM_HARNESS_HTTP_HPP
