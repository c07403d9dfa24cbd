#ifndef MEDLAR_DETAIL_MEMBERSHIP_MESSAGE_HANDLER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_MESSAGE_HANDLER_HPP

#include <medlar/detail/membership/exchange_core.hpp>
#include <medlar/detail/membership/lease_renewer.hpp>
#include <medlar/detail/membership/view_manager.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Answers calls from peers, the controller and operators' programs.
/// @note Safe to call from every thread.
class message_handler
{
  public:
    /// @param leaving_changed called when the leaving targets have changed
    message_handler(exchange_core& core,
                    view_manager& views,
                    lease_renewer& renewer,
                    std::function<void()> leaving_changed);

    /// @brief see exchange::handle()
    std::optional<int> handle(const link_request& request, link_responder& responder);

  private:
    /// @brief JSON text of an answer, or error 804
    using answer = absl::StatusOr<std::string>;

    answer on_grant(const std::string& body);
    answer on_handover(const std::string& body);
    answer on_claims(const std::string& body);
    answer on_lookup(const std::string& body);
    answer on_state(const std::string& body);
    answer on_control(const std::string& body);
    answer on_status(const std::string& body);

    exchange_core& core_;
    view_manager& views_;
    lease_renewer& renewer_;
    const std::function<void()> leaving_changed_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_MESSAGE_HANDLER_HPP
