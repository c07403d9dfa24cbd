#ifndef MEDLAR_DETAIL_GATEWAY_CANCEL_TOKEN_HPP
#define MEDLAR_DETAIL_GATEWAY_CANCEL_TOKEN_HPP

#include <medlar/detail/base/clock.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace medlar
{

/// @brief why something is not waited for any more
enum class cancel_cause
{
    none,
    caller_gone,
    deadline,
    not_needed, ///< another call has given the result
};

/// @brief Tells all that work on one request, or on one call of it, to stop.
/// @note Safe to call from every thread.
class cancel_token
{
  public:
    static std::shared_ptr<cancel_token> create();

    /// @brief Cancels; the first cause stands. Calls the registered actions.
    void cancel(cancel_cause why);

    /// @brief the cause, none if it is not cancelled
    cancel_cause cause() const;

    /// @brief Waits, but not longer than until it is cancelled.
    /// @return whether it is cancelled
    bool wait_for(millis timeout) const;

    /// @brief Registers an action for cancel(); called at once if it is cancelled.
    /// @note the action must not wait and must not use this token
    std::uint64_t on_cancel(std::function<void(cancel_cause)> action);

    /// @brief Removes an action; it does not run any more when this returns.
    void remove(std::uint64_t registration);

  private:
    cancel_token() = default;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    cancel_cause cause_ = cancel_cause::none;
    std::uint64_t last_registration_ = 0;
    std::map<std::uint64_t, std::function<void(cancel_cause)>> actions_;
};

/// @brief an action that is registered at a token as long as this lives
class cancel_action
{
  public:
    cancel_action(std::shared_ptr<cancel_token> token,
                  std::function<void(cancel_cause)> action);
    cancel_action(const cancel_action&) = delete;
    cancel_action& operator=(const cancel_action&) = delete;
    ~cancel_action();

  private:
    std::shared_ptr<cancel_token> token_;
    std::uint64_t registration_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_CANCEL_TOKEN_HPP
