#ifndef MEDLAR_DETAIL_DISPATCH_STAGE_PATH_HPP
#define MEDLAR_DETAIL_DISPATCH_STAGE_PATH_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace medlar
{

/// @brief Returns the expected time of a stage, by its index
using stage_time = std::function<millis(std::size_t stage)>;

/// @brief Returns whether a stage reads the results of another.
bool depends_on(const stage_rule& stage, std::size_t other);

/// @brief Returns the time of the longest path of dependent stages after @p stage,
/// without the stage itself; 0 if no stage depends on it. The stages must have no cycle.
millis longest_path_after(const std::vector<stage_rule>& stages,
                          std::size_t stage,
                          const stage_time& time);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_STAGE_PATH_HPP
