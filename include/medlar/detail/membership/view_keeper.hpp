#ifndef MEDLAR_DETAIL_MEMBERSHIP_VIEW_KEEPER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_VIEW_KEEPER_HPP

#include <medlar/detail/membership/claim_sender.hpp>
#include <medlar/detail/membership/exchange_core.hpp>

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <mutex>

namespace medlar
{

/// @brief Takes the steps of the ownership that depend on time: learns records, adopts
/// and closes views, and starts the handovers that follow.
/// @note Safe to call from every thread.
class view_keeper
{
  public:
    view_keeper(exchange_core& core, claim_sender& sender);

    /// @brief Takes note of a view record, and adopts it if that is possible now.
    /// @return errors of parse_view_record()
    absl::Status learn(absl::string_view record_text);

    /// @brief takes the steps that are due
    void step();

    /// @brief another incarnation answers at the address of @p process
    void replaced(incarnation process);

  private:
    void adopt();
    void report_lease();

    exchange_core& core_;
    claim_sender& sender_;
    // held during a step, so that adoptions are announced in order
    std::mutex mutex_;
    bool had_lease_ = false;
    std::vector<incarnation> replaced_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_VIEW_KEEPER_HPP
