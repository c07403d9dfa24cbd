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

/// @brief how far a stage has come
enum class stage_progress
{
    waiting,
    started,
    done,
};

/// @brief JSON text of the outputs of finished stages, by stage name
using stage_outputs = std::map<std::string, std::string>;

/// @brief The stages that may start now: not started, and all that they take is done.
/// @param progress of each stage of @p of
std::vector<std::size_t> ready_stages(const pipeline& definition,
                                      const std::vector<stage_progress>& progress);

/// @brief JSON text of what a stage takes: the request's input, or an object of the
/// outputs of the stages that it comes after
std::string stage_input(const stage& definition,
                        const client_request& request,
                        const stage_outputs& outputs);

/// @brief whether a call of this stage may be made again after it may have run
bool is_idempotent(const stage& definition, const client_request& request);

/// @brief most tokens that a generate stage writes for a request; 0: no bound
token_count token_limit(const stage& definition, const client_request& request);

/// @brief JSON text of the outputs of all stages
std::string write_outputs(const stage_outputs& outputs);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_STAGE_PLAN_HPP
