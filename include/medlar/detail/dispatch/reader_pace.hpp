#ifndef MEDLAR_DETAIL_DISPATCH_READER_PACE_HPP
#define MEDLAR_DETAIL_DISPATCH_READER_PACE_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstdint>
#include <optional>

namespace medlar
{

/// @brief Measures how fast a peer takes the output that waits for it.
///
/// Only the time counts in which output waits. A measurement begins when output first
/// waits, and again each time that the peer is found to have kept up since. A peer that
/// is slower on average has not kept up, whether it takes a byte now and then or nothing.
class reader_pace
{
  public:
    /// @brief Called when output begins to wait.
    void begin_wait(steady_time now);

    /// @brief Called when no output waits any more. A measurement goes on when output
    /// waits again: a peer that is sent little at a time leaves nothing waiting at times.
    void end_wait(steady_time now);

    /// @brief Returns since when the peer has been slower than a rate, less the time in
    /// which no output waited.
    /// @param taken bytes that the peer has taken since its connection began
    /// @param least_rate bytes a second; with 0, any byte is enough
    steady_time
    slow_since(std::uint64_t taken, std::uint64_t least_rate, steady_time now);

  private:
    /// bytes taken when the measurement began
    std::uint64_t taken_ = 0;
    /// time of waiting that has ended since then
    millis waited_{0};
    std::optional<steady_time> waiting_since_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_READER_PACE_HPP
