#ifndef MEDLAR_DETAIL_CLUSTER_STATE_ORDER_HPP
#define MEDLAR_DETAIL_CLUSTER_STATE_ORDER_HPP

#include <cstdint>
#include <string>

namespace medlar
{

/// @brief what tells one accepted state of a numbered series from another
struct state_version
{
    /// its revision or epoch; 0: none
    std::uint64_t number = 0;
    /// differs between two states that were given the same number
    std::string digest;
};

/// @brief how a state that was read stands to the newest one that was known
enum class state_order
{
    newer,
    same,
    older,       ///< the store came back with an older state
    conflicting, ///< the same number was given to two states
};

/// @brief Compares a state that was read with the newest one that was known.
inline state_order order_of(const state_version& known, const state_version& read)
{
    if (read.number != known.number)
    {
        return read.number > known.number ? state_order::newer : state_order::older;
    }
    return read.digest == known.digest ? state_order::same : state_order::conflicting;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_STATE_ORDER_HPP
