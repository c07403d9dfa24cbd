#ifndef MEDLAR_DETAIL_MEMBERSHIP_VIEW_MANAGER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_VIEW_MANAGER_HPP

#include <medlar/detail/membership/claim_sender.hpp>
#include <medlar/detail/membership/exchange_core.hpp>

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <mutex>

namespace medlar
{

/// @brief Passes view records to the ownership, adopts and closes views when that is due,
/// and starts the handovers that follow.
/// @note Safe to call from every thread.
class view_manager
{
  public:
    view_manager(exchange_core& core, claim_sender& sender);

    /// @brief Handles a received view record, and adopts the view if that is possible
    /// now.
    /// @return errors of parse_view_record()
    absl::Status on_view_record(absl::string_view record_text);

    /// @brief Adopts the newest view and closes older ones, if that is due, and logs a
    /// change of the lease.
    void step();

    /// @brief Records that another incarnation answers at the address of @p process,
    /// which therefore has stopped.
    void on_replaced(incarnation process);

  private:
    void adopt();
    void log_lease_change();

    exchange_core& core_;
    claim_sender& sender_;
    // held during a step, so that adoptions are reported in order
    std::mutex mutex_;
    bool had_lease_ = false;
    std::vector<incarnation> replaced_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_VIEW_MANAGER_HPP
