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

/// @brief the result of a replayed request
struct replayed_request
{
    trace_request request;
    /// unset: no answer was received, the request is lost
    std::optional<checked_answer> answer;
    /// time from the scheduled send to the answer
    millis elapsed{0};
    /// time from the scheduled send to the first token of a streamed answer
    std::optional<millis> first_token;
    /// number of times it was sent
    int sent = 0;
};

/// @brief settings of a caller
struct caller_settings
{
    std::vector<endpoint> gateways;
    /// time after its deadline at which an unanswered request counts as lost
    millis loss_timeout{15000};
    /// maximum times that a request is sent
    int max_sends = 20;
    /// prefix of each request id, so that a trace can be replayed more than once
    std::string id_prefix;
};

/// @brief Sends requests to gateways in turn. If a connection fails, resends the request
/// through another gateway with the same id and issue time.
/// @note Thread-safe.
class caller
{
  public:
    caller(const caller_settings& settings, const clock& time);

    /// @brief Sends a request, and resends it until it is answered or counts as lost.
    /// @param due the scheduled time of the first send
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

/// @brief Returns the body of a request as described in docs/API.md.
std::string request_body(const trace_request& request,
                         const std::string& id_prefix,
                         wall_time issued_at,
                         bool first_attempt);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_CALLER_HPP
