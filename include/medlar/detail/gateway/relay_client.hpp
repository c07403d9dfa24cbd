#ifndef MEDLAR_DETAIL_GATEWAY_RELAY_CLIENT_HPP
#define MEDLAR_DETAIL_GATEWAY_RELAY_CLIENT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/gateway/request_context.hpp>
#include <medlar/detail/link/link.hpp>

#include <memory>
#include <variant>

namespace medlar
{

/// @brief The home answered.
struct relay_answered
{
    final_answer answer;
};

/// @brief The process is no longer the home or accepts no calls. It ran nothing.
struct relay_declined
{
};

/// @brief Nothing was sent.
struct relay_unreachable
{
};

/// @brief The request may have reached the home, but no complete answer arrived.
struct relay_broken
{
};

using relay_result =
    std::variant<relay_answered, relay_declined, relay_unreachable, relay_broken>;

/// @brief Relays requests from their entry to their home.
/// @note Thread-safe; a call blocks its thread.
class relay_client
{
  public:
    static std::unique_ptr<relay_client> create(const clock& time, link_client& links);

    /// @brief Sends a request to its home, without retries, and forwards the streamed
    /// tokens to the caller.
    relay_result send(const request_context& context, const view_member& home) const;

  private:
    relay_client(const clock& time, link_client& links);

    const clock& time_;
    link_client& links_;
};

/// @brief HTTP status with which a process states that it is not the home of a request.
constexpr int home_changed_status = 421;

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_RELAY_CLIENT_HPP
