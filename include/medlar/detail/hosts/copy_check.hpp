#ifndef MEDLAR_DETAIL_HOSTS_COPY_CHECK_HPP
#define MEDLAR_DETAIL_HOSTS_COPY_CHECK_HPP

#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/store_controller.hpp>

#include <functional>
#include <vector>

namespace medlar
{

/// @brief Confirms that this host's copy of the store has all that the store had at a
/// moment, or later. Contact with the store does not show that: its answers to other
/// calls say nothing of changes that the copy lacks.
///
/// Requests that come in quick succession share a call to the store.
class copy_check
{
  public:
    using done_action = std::function<void(bool is_current)>;

    copy_check(entry_context& context, store_controller& store);

    /// @brief Confirms that the copy has all that the store has now.
    /// @param on_done receives false if the store does not answer, or if the copy does
    /// not catch up in time
    void confirm(done_action on_done);

    /// @brief Waits until the copy has reached a version of the store.
    /// @param on_done receives false if it does not catch up in time
    void wait_for(store_version version, const done_action& on_done);

  private:
    void start();
    void poll(store_version version, steady_time end, const done_action& on_done);

    entry_context& context_;
    store_controller& store_;
    std::vector<done_action> waiting_;
    bool is_start_due_ = false;
    /// when the store may be called again
    steady_time next_start_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_COPY_CHECK_HPP
