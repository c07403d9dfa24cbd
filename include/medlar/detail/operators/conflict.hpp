#ifndef MEDLAR_DETAIL_OPERATORS_CONFLICT_HPP
#define MEDLAR_DETAIL_OPERATORS_CONFLICT_HPP

#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/difference.hpp>

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief what came before a change that is refused with error 601
struct conflict_report
{
    revision number;
    std::string change_id;
    std::string author;
    std::vector<difference> differences;
};

/// @brief a status of error 601 that carries the report
absl::Status make_conflict(const conflict_report& report);

/// @brief the report that a status carries, if it does
std::optional<conflict_report> conflict_of(const absl::Status& status);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CONFLICT_HPP
