#ifndef MEDLAR_DETAIL_REPLAY_EXECUTIONS_HPP
#define MEDLAR_DETAIL_REPLAY_EXECUTIONS_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/replay/report.hpp>

#include <absl/status/statusor.h>

#include <vector>

namespace medlar
{

/// @brief Fetches the execution counts of all @p targets and adds them up.
/// @return error 801 if a target is unreachable, 804 if its response is malformed
absl::StatusOr<execution_counts> fetch_executions(const std::vector<endpoint>& targets);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_EXECUTIONS_HPP
