#ifndef MEDLAR_TEST_SOAK_COLD_CHECK_HPP
#define MEDLAR_TEST_SOAK_COLD_CHECK_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <deque>

namespace medlar::soak
{

/// @brief Counts the requests that a target gets while it is cold, and finds the second
/// that holds most of them.
class cold_check
{
  public:
    /// @brief Records a request that the target gets while it is cold.
    /// @param earliest when it may have arrived: it was not there before
    /// @param seen when it was read
    void record(steady_time earliest, steady_time seen);

    /// @brief largest number of requests that all arrived within one second
    std::size_t most_in_a_second() const
    {
        return most_;
    }

    /// @brief all requests that arrived while the target was cold
    std::size_t total() const
    {
        return total_;
    }

  private:
    struct arrival
    {
        steady_time earliest;
        steady_time seen;
    };

    /// arrivals that may lie in the same second as the next one
    std::deque<arrival> latest_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_COLD_CHECK_HPP
