#ifndef MEDLAR_DETAIL_OPERATORS_SETTLED_WRITE_HPP
#define MEDLAR_DETAIL_OPERATORS_SETTLED_WRITE_HPP

#include <medlar/detail/base/error.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>

namespace medlar
{

/// @brief most tries of one change
constexpr int max_change_attempts = 5;

/// @brief whether a failed compare-and-swap may have taken effect all the same
inline bool may_have_taken_effect(const absl::Status& status)
{
    const int number = error_number_of(status);
    return number != static_cast<int>(error_number::store_unreachable) &&
           number != static_cast<int>(error_number::store_refused);
}

/// @brief Tries a change until its outcome is settled, a bounded number of times.
/// @param try_once reads, and writes by compare-and-swap; returns the result, an error,
///     or nothing if it is to be tried again
/// @param is_pending whether a write whose reply was lost may still take effect; an
///     error does not settle the change then
/// @return the result; unset if the outcome is not known; error 601 if other changes
///     kept coming first
template <typename Result, typename Try, typename Pending>
absl::StatusOr<std::optional<Result>> settle(Try try_once, Pending is_pending)
{
    for (int tries = 0; tries < max_change_attempts; ++tries)
    {
        absl::StatusOr<std::optional<Result>> result = try_once();
        const bool is_final = result.ok() ? result->has_value() : !is_pending();
        if (is_final)
        {
            return result;
        }
    }
    if (is_pending())
    {
        return std::nullopt;
    }
    return make_error(absl::StatusCode::kAborted,
                      error_number::conflict,
                      "other changes keep coming first");
}

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_SETTLED_WRITE_HPP
