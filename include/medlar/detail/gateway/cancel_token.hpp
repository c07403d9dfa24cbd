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

/// @brief Why a request or call was cancelled.
enum class cancel_cause
{
    none,
    caller_gone,
    deadline,
    not_needed, ///< another call has given the result
};

/// @brief Signals cancellation to all threads that work on a request or on one call of
/// it.
/// @note Thread-safe.
class cancel_token
{
  public:
    static std::shared_ptr<cancel_token> create();

    /// @brief Cancels and runs the registered actions. Only the first call has an effect.
    void cancel(cancel_cause why);

    /// @brief Returns the cause; none if it is not cancelled.
    cancel_cause cause() const;

    /// @brief Waits until it is cancelled or the timeout has passed.
    /// @return whether it is cancelled
    bool wait_for(millis timeout) const;

    /// @brief Registers an action that cancel() runs. It runs at once if the token is
    /// already cancelled.
    /// @note The action must not block and must not use this token.
    /// @return a number for remove()
    std::uint64_t on_cancel(std::function<void(cancel_cause)> action);

    /// @brief Removes an action. When this returns, the action is not running and will
    /// not run.
    void remove(std::uint64_t registration);

  private:
    cancel_token() = default;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    cancel_cause cause_ = cancel_cause::none;
    std::uint64_t last_registration_ = 0;
    std::map<std::uint64_t, std::function<void(cancel_cause)>> actions_;
};

/// @brief Registers an action at a token during the lifetime of this object.
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
