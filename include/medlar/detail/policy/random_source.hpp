#ifndef MEDLAR_DETAIL_POLICY_RANDOM_SOURCE_HPP
#define MEDLAR_DETAIL_POLICY_RANDOM_SOURCE_HPP

#include <cstdint>

namespace medlar
{

/// @brief A seeded pseudo-random sequence for choices between near-equal targets.
/// @note Not cryptographically secure. Not thread-safe.
class random_source
{
  public:
    explicit random_source(std::uint64_t seed) : state_(seed)
    {
    }

    /// @brief Returns the next 64-bit number (SplitMix64).
    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15U;
        std::uint64_t value = state_;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    /// @brief Returns a number in [0, 1).
    double fraction()
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(next() >> 11U) * scale;
    }

    /// @brief Returns a number in [0, @p bound).
    /// @param bound at least 1
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

  private:
    std::uint64_t state_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_RANDOM_SOURCE_HPP
