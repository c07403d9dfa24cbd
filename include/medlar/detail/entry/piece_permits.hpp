#ifndef MEDLAR_DETAIL_ENTRY_PIECE_PERMITS_HPP
#define MEDLAR_DETAIL_ENTRY_PIECE_PERMITS_HPP

#include <medlar/detail/hosts/limit_controller.hpp>

#include <functional>
#include <map>
#include <set>

namespace medlar
{

/// @brief Permits for calls with pieces to cold targets, and to those that tolerate few
/// more refusals.
///
/// The pieces of a call are chosen when it is sent, so its permit is asked for before.
/// One permit is held for each target, and dropped if it is not used in time.
class piece_permits
{
  public:
    piece_permits(entry_context& context, limit_controller& limits)
        : context_(context), limits_(limits)
    {
    }

    /// @brief Returns whether a call may be sent to a target: it needs no permit, or one
    /// is held.
    /// @param is_wanted whether to ask for a permit otherwise
    /// @param on_granted called when a permit that was asked for has come later
    bool may_send(const target_state& target,
                  bool is_wanted,
                  const std::function<void()>& on_granted);

    /// @brief Takes the permit that is held for a target.
    /// @return its end; in the past if there is none
    steady_time take(const target_id& target);

    /// @brief Keeps a call from being sent to a cold target without a valid permit, also
    /// if only its connection tells that it is cold.
    /// @param permit_until the end of the permit that the call has
    void prepare_call(target_state& target,
                      steady_time permit_until,
                      call_options& options,
                      call_callbacks& events);

  private:
    bool is_held(const target_id& target) const;

    entry_context& context_;
    limit_controller& limits_;
    /// end of the permit that is held for a target
    std::map<target_id, steady_time> held_until_;
    /// targets for which a permit was asked for
    std::set<target_id> asked_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PIECE_PERMITS_HPP
