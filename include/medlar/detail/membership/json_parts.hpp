#ifndef MEDLAR_DETAIL_MEMBERSHIP_JSON_PARTS_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_JSON_PARTS_HPP

#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/ownership/claim_table.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace medlar
{

// JSON conversions shared by several messages. The ..._from() functions throw
// json::exception.

nlohmann::json json_of(const view_member& member);
view_member member_from(const nlohmann::json& from);

nlohmann::json json_of(const request_key& key);
request_key key_from(const nlohmann::json& from);

nlohmann::json json_of(const claim& one);
claim claim_from(const nlohmann::json& from);

nlohmann::json json_of(const std::vector<incarnation>& processes);
std::vector<incarnation> incarnations_from(const nlohmann::json& from);

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_JSON_PARTS_HPP
