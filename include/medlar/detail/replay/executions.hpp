#ifndef MEDLAR_DETAIL_REPLAY_EXECUTIONS_HPP
#define MEDLAR_DETAIL_REPLAY_EXECUTIONS_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/replay/report.hpp>

#include <absl/status/statusor.h>

#include <vector>

namespace medlar
{

/// @brief Asks targets that count their executions for the counts, and adds them up.
/// @return error 801 if one cannot be reached, 804 if it answers something else
absl::StatusOr<execution_counts> fetch_executions(const std::vector<endpoint>& targets);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_EXECUTIONS_HPP
