#ifndef MEDLAR_DETAIL_REPLAY_CALLER_HPP
#define MEDLAR_DETAIL_REPLAY_CALLER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/replay/answer_check.hpp>
#include <medlar/detail/replay/trace.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief what became of one request of a trace
struct replayed_request
{
    trace_request request;
    /// unset: no answer came, the request is lost
    std::optional<checked_answer> answer;
    /// from its time in the trace to its answer
    millis elapsed{0};
    /// from its time in the trace to its first token, if it was streamed
    std::optional<millis> first_token;
    /// times that it was sent
    int sent = 0;
};

/// @brief how requests are sent
struct caller_settings
{
    std::vector<endpoint> gateways;
    /// time after which an unanswered request counts as lost, from its deadline
    millis patience{15000};
    /// most times that one request is sent
    int max_sends = 20;
    /// put before each request id, so that a trace can be sent again
    std::string id_prefix;
};

/// @brief Sends requests as callers do: to any gateway, and again through another one
/// with the same id and issue time if the connection breaks.
/// @note Safe to call from every thread.
class caller
{
  public:
    caller(const caller_settings& settings, const clock& time);

    /// @brief Sends one request until it is answered or given up.
    /// @param due when the trace sends it
    replayed_request send(const trace_request& request, steady_time due);

  private:
    std::optional<std::string> exchange_once(const trace_request& request,
                                             const std::string& body,
                                             steady_time give_up_at,
                                             replayed_request& result,
                                             steady_time due);
    const endpoint& next_gateway();

    const caller_settings settings_;
    clock time_;
    std::atomic<std::uint64_t> next_{0};
};

/// @brief the body of a request as docs/API.md describes it
std::string request_body(const trace_request& request,
                         const std::string& id_prefix,
                         wall_time issued_at,
                         bool first_attempt);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_CALLER_HPP
