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

/// @brief the home's answer to a relayed request
struct relay_answered
{
    final_answer answer;
};

/// @brief the process is not the home any more, or takes no more calls; it ran nothing
struct relay_declined
{
};

/// @brief nothing was handed to the network
struct relay_unreachable
{
};

/// @brief the home may have read the request, and gave no whole answer
struct relay_broken
{
};

using relay_result =
    std::variant<relay_answered, relay_declined, relay_unreachable, relay_broken>;

/// @brief The entry's side of relaying a request to its home.
/// @note Safe to call from every thread; a call blocks its thread.
class relay_client
{
  public:
    static std::unique_ptr<relay_client> create(const clock& time, link_client& links);

    /// @brief Hands a request to a home once, and its tokens to the caller as they come.
    relay_result send(const request_context& context, const view_member& home) const;

  private:
    relay_client(const clock& time, link_client& links);

    const clock& time_;
    link_client& links_;
};

/// @brief HTTP status by which a process says that it is not the home of a request
constexpr int home_changed_status = 421;

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_RELAY_CLIENT_HPP
