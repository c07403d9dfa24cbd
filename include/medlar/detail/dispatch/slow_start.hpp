#ifndef MEDLAR_DETAIL_DISPATCH_SLOW_START_HPP
#define MEDLAR_DETAIL_DISPATCH_SLOW_START_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstdint>
#include <map>

namespace medlar
{

/// @brief How a target has answered a call, as far as its pace is concerned
enum class slow_start_result
{
    timely,    ///< about as fast as is usual in its pool
    slow,      ///< more slowly
    failed,    ///< it refused the call or broke off
    cancelled, ///< the call ended for another reason, which says nothing about the target
};

/// @brief Returns how a target has answered.
/// @param took time to the first event, or to the end of an answer that is no stream
/// @param usual the same for the pool; 0 if it is unknown
slow_start_result pace_of(millis took, millis usual);

/// @brief Limits the calls in progress at a target that has started or recovered, from
/// all hosts together.
///
/// The window begins with one call. It grows by one for each timely answer while it is
/// used up, so it doubles in the time of an answer; after the first slow answer it grows
/// by one in the time of an answer. It is halved by slow answers and begins again after a
/// failure. It never closes, since only answers tell that the target has recovered.
class slow_start_window
{
  public:
    /// @param slots calls that the target executes at the same time
    slow_start_window(int slots, steady_time now);

    /// @brief Begins a call unless the window is used up.
    /// @param call number of the call, not used before
    /// @return whether the call may be sent
    bool begin(std::uint64_t call, steady_time now);

    /// @brief Records how the target has begun to answer a call that goes on, such as a
    /// stream. The window follows that at once, since streams take seconds.
    void record_answer(std::uint64_t call, slow_start_result result, steady_time now);

    /// @brief Ends a call; one that is not known, since its end was assumed, has no
    /// effect.
    void end(std::uint64_t call, slow_start_result result, steady_time now);

    /// @brief Returns whether the target sustains its full number of slots.
    bool has_ended() const
    {
        return has_ended_;
    }

    /// @brief Returns the number of calls that may be in progress.
    int size() const;

    /// @brief Returns the number of calls in progress.
    int in_progress() const
    {
        return static_cast<int>(calls_.size());
    }

  private:
    struct open_call
    {
        steady_time begun;
        /// whether the window was used up while the call was in progress
        bool was_window_full = false;
        /// whether the window has followed its answer already
        bool is_answered = false;
    };

    void drop_lost_calls(steady_time now);
    void follow(const open_call& call, slow_start_result result, steady_time now);
    void grow(bool is_used_up);
    void shrink(double to, steady_time now);

    double slots_;
    double window_ = 1;
    /// size up to which the window grows by one for each answer
    double fast_until_;
    /// timely answers in a row while the window had its full size
    int sustained_ = 0;
    bool has_ended_ = false;
    /// answers to calls that had begun before do not shrink the window again
    steady_time shrunk_at_;
    std::map<std::uint64_t, open_call> calls_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_SLOW_START_HPP
