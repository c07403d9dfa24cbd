#ifndef MEDLAR_DETAIL_DISPATCH_STAGE_PATH_HPP
#define MEDLAR_DETAIL_DISPATCH_STAGE_PATH_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace medlar
{

/// @brief the time that one stage is taken to need
using stage_time = std::function<millis(std::size_t stage)>;

/// @brief whether a stage reads the results of another
bool reads(const stage_rule& stage, std::size_t other);

/// @brief the longest time of stages that follow one after the other, after @p stage
millis longest_after(const std::vector<stage_rule>& stages,
                     std::size_t stage,
                     const stage_time& time);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_STAGE_PATH_HPP
