#ifndef MEDLAR_DETAIL_CLUSTER_STATE_ORDER_HPP
#define MEDLAR_DETAIL_CLUSTER_STATE_ORDER_HPP

#include <cstdint>
#include <string>

namespace medlar
{

/// @brief version of a state: its number and a digest of its content
struct state_version
{
    /// revision or epoch; 0: none
    std::uint64_t number = 0;
    /// distinguishes two states with the same number
    std::string digest;
};

/// @brief order of a state that was read relative to the newest known one
enum class state_order
{
    newer,
    same,
    older,       ///< the store returned an older state
    conflicting, ///< two different states have the same number
};

/// @brief Returns the order of the version @p read relative to the newest known one.
inline state_order compare_versions(const state_version& known, const state_version& read)
{
    if (read.number != known.number)
    {
        return read.number > known.number ? state_order::newer : state_order::older;
    }
    return read.digest == known.digest ? state_order::same : state_order::conflicting;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_STATE_ORDER_HPP
