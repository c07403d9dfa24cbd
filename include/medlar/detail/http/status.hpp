#ifndef MEDLAR_DETAIL_HTTP_STATUS_HPP
#define MEDLAR_DETAIL_HTTP_STATUS_HPP

namespace medlar
{

// HTTP status codes
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_timeout = 408;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_too_large = 413;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// @brief Returns whether @p status is one that the protocol has; a server that sends
/// another one has not answered.
constexpr bool is_of_protocol(int status)
{
    return status >= 100 && status < 600;
}

/// @brief Returns whether @p status is a 1xx status, which precedes that of the answer.
constexpr bool is_informational(int status)
{
    return status >= 100 && status < 200;
}

/// @brief Returns whether @p status is a 2xx status.
constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_STATUS_HPP
