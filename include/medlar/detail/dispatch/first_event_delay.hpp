#ifndef MEDLAR_DETAIL_DISPATCH_FIRST_EVENT_DELAY_HPP
#define MEDLAR_DETAIL_DISPATCH_FIRST_EVENT_DELAY_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <array>
#include <cstddef>

namespace medlar
{

/// @brief Estimates the time from sending a request to an engine of a pool to its first
/// event, by the size of the prompt.
///
/// A prompt of 17,000 tokens takes several times as long as one of 1,500. With one mean
/// for all, short prompts are refused in a burst for a delay that they would not have,
/// and the stages of long ones end too late.
class first_event_delay
{
  public:
    /// @brief Records a measured delay.
    void record(token_count prompt, millis took);

    /// @brief Returns the expected delay; that of all sizes for a size of which little is
    /// known.
    millis estimate(token_count prompt) const;

  private:
    /// moving average
    struct average
    {
        double mean_ms = 0;
        std::size_t samples = 0;

        void record(double ms);
    };

    /// sizes by powers of two: up to 1,024 tokens, 2,048 and so on
    static constexpr std::size_t size_count = 8;

    static std::size_t size_of(token_count prompt);

    average all_;
    std::array<average, size_count> by_size_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_FIRST_EVENT_DELAY_HPP
