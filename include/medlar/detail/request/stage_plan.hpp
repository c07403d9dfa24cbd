#ifndef MEDLAR_DETAIL_REQUEST_STAGE_PLAN_HPP
#define MEDLAR_DETAIL_REQUEST_STAGE_PLAN_HPP

#include <medlar/detail/config/document.hpp>
#include <medlar/detail/request/client_request.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace medlar
{

/// @brief The progress of a stage in a run.
enum class stage_progress
{
    waiting,
    started,
    done,
};

/// @brief The outputs of finished stages as JSON texts, by stage name.
using stage_outputs = std::map<std::string, std::string>;

/// @brief Returns the indexes of the stages that may start now: not started, and all
/// their dependencies are done.
/// @param progress the progress of each stage of @p definition
std::vector<std::size_t> ready_stages(const pipeline& definition,
                                      const std::vector<stage_progress>& progress);

/// @brief Returns the input of a stage as JSON text: the request's input, or an object
/// with the outputs of the stages that it depends on.
std::string stage_input(const stage& definition,
                        const client_request& request,
                        const stage_outputs& outputs);

/// @brief Returns whether a call of this stage may be retried after it may have run: as
/// the stage states, or else as the request does.
bool is_idempotent(const stage& definition, const client_request& request);

/// @brief Returns the maximum number of tokens that a generate stage writes for a
/// request; 0: no limit.
token_count token_limit(const stage& definition, const client_request& request);

/// @brief Returns an object with the outputs as JSON text.
std::string write_outputs(const stage_outputs& outputs);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_STAGE_PLAN_HPP
