#ifndef MEDLAR_DETAIL_LOOP_EVENT_LOOP_HPP
#define MEDLAR_DETAIL_LOOP_EVENT_LOOP_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/strong_type.hpp>
#include <medlar/detail/dispatch/memory_budget.hpp>

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace medlar
{

/// @brief Conditions for which a socket is ready.
struct readiness
{
    bool readable = false;
    bool writable = false;
    bool failed = false;
};

/// @brief Receives the readiness events of one socket.
class socket_handler
{
  public:
    virtual ~socket_handler() = default;

    /// @brief Called when the socket is ready; may stop watching the socket.
    virtual void on_ready(readiness ready) = 0;
};

/// @brief Identifies a pending timer; 0 is no timer.
using timer_id = strong_type<struct timer_id_tag, std::uint64_t>;

/// @brief Single-threaded event loop for sockets and timers, on Poco::Net::PollSet.
class event_loop
{
  public:
    explicit event_loop(const medlar::clock& time);

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Returns the time at which handling of the current events began.
    steady_time now() const
    {
        return now_;
    }

    /// @brief Returns the budget that all connections of the loop are charged to.
    const std::shared_ptr<memory_budget>& memory() const
    {
        return memory_;
    }

    /// @brief Registers @p handler for read and write readiness of a socket.
    void watch(const Poco::Net::Socket& socket,
               std::shared_ptr<socket_handler> handler,
               bool read,
               bool write);

    /// @brief Changes the conditions for which a registered socket is watched.
    void change(const Poco::Net::Socket& socket, bool read, bool write);

    /// @brief Stops watching a socket; does nothing if it is not watched.
    void unwatch(const Poco::Net::Socket& socket);

    /// @brief Calls @p action once after @p delay.
    timer_id after(millis delay, std::function<void()> action);

    /// @brief Cancels a pending timer; does nothing if it has fired.
    void cancel(timer_id timer);

    /// @brief Waits for events until the next timer is due or @p max_wait has passed,
    /// then handles the events and all due timers.
    void run_once(millis max_wait);

  private:
    using timer_key = std::pair<std::int64_t, std::uint64_t>;

    void fire_due_timers();

    const medlar::clock& clock_;
    steady_time now_;
    Poco::Net::PollSet poll_;
    std::unordered_map<const void*, std::shared_ptr<socket_handler>> handlers_;
    std::map<timer_key, std::function<void()>> timers_;
    std::unordered_map<std::uint64_t, std::int64_t> due_times_;
    std::uint64_t last_timer_ = 0;
    std::shared_ptr<memory_budget> memory_ = std::make_shared<memory_budget>();
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_EVENT_LOOP_HPP
