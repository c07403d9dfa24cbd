#ifndef MEDLAR_DETAIL_DISPATCH_REQUEST_EXPLANATION_HPP
#define MEDLAR_DETAIL_DISPATCH_REQUEST_EXPLANATION_HPP

#include <medlar/detail/dispatch/permit_issuer.hpp>
#include <medlar/detail/dispatch/route_decision.hpp>
#include <medlar/detail/dispatch/target_table.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief targets of one pool that an explanation lists
constexpr std::size_t max_explained_targets = 128;

/// @brief stages, and routes of a host, that an explanation lists
constexpr std::size_t max_explained_items = 16;

/// @brief Returns the permits that a target needs; unset if it needs none.
using permit_lookup =
    std::function<std::optional<permit_terms>(const target_state& target)>;

/// @brief Returns what is known of a target. States that are not in force are left out.
nlohmann::json
explain_target(const target_state& target, const permit_lookup& permits, steady_time now);

/// @brief Returns what is known of the targets of a pool, and why each is skipped.
///
/// At most max_explained_targets are listed: the chosen one, and the first others.
/// @param chosen null if there is none
nlohmann::json explain_targets(const std::vector<const target_state*>& targets,
                               const skip_record& skipped,
                               const target_state* chosen,
                               const permit_lookup& permits,
                               steady_time now);

/// @brief Returns the rules of a route.
nlohmann::json explain_route(const route& matched);

/// @brief Returns why no route matches: the routes of the host, if it has any.
nlohmann::json explain_missing_route(const serving_configuration& configuration,
                                     absl::string_view host);

/// @brief Returns an explanation as text for operators. Fields of another type than a
/// host writes are left out.
std::string explanation_text(const nlohmann::json& explanation);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REQUEST_EXPLANATION_HPP
