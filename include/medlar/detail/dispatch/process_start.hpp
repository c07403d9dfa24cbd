#ifndef MEDLAR_DETAIL_DISPATCH_PROCESS_START_HPP
#define MEDLAR_DETAIL_DISPATCH_PROCESS_START_HPP

#include <medlar/detail/base/ids.hpp>

#include <cstdint>

namespace medlar
{

/// @brief One process of a target. A target that starts again may keep its id and
/// address; what was known of the process before does not hold for the new one.
struct process_start
{
    target_id target;
    /// Unix time in ms; 0 if it is unknown
    std::int64_t started_ms = 0;

    friend bool operator==(const process_start& a, const process_start& b)
    {
        return a.target == b.target && a.started_ms == b.started_ms;
    }

    friend bool operator<(const process_start& a, const process_start& b)
    {
        return a.target != b.target ? a.target < b.target : a.started_ms < b.started_ms;
    }
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PROCESS_START_HPP
