#ifndef MEDLAR_DETAIL_OPERATORS_SETTLED_WRITE_HPP
#define MEDLAR_DETAIL_OPERATORS_SETTLED_WRITE_HPP

#include <medlar/detail/base/error.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>

namespace medlar
{

/// @brief maximum number of attempts of one change
constexpr int max_change_attempts = 5;

/// @brief Returns whether a failed compare-and-swap may have taken effect nevertheless.
inline bool may_have_taken_effect(const absl::Status& status)
{
    const int number = error_number_of(status);
    return number != static_cast<int>(error_number::store_unreachable) &&
           number != static_cast<int>(error_number::store_refused);
}

/// @brief Attempts a change until its outcome is known, at most @ref max_change_attempts
/// times.
/// @param try_once reads, and writes by compare-and-swap; returns the result, an error,
///     or an unset value if it is to be called again
/// @param is_pending returns whether a write whose reply was lost may still take effect;
///     if so, an error of @p try_once is not final
/// @return the result; unset if the outcome is unknown; error 601 if all attempts lost
///     to other changes
template <typename Result, typename Try, typename Pending>
absl::StatusOr<std::optional<Result>> retry_until_settled(Try try_once,
                                                          Pending is_pending)
{
    for (int attempts = 0; attempts < max_change_attempts; ++attempts)
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
