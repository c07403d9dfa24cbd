#include <medlar/detail/config/field_reader.hpp>
#include <medlar/detail/config/json_text.hpp>
#include <medlar/detail/config/model_order.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_orders = 64;
constexpr std::size_t max_field_bytes = 128;
constexpr std::array<absl::string_view, 4> actions{
    "load_model", "unload_model", "load_adapter", "change_role"};

absl::Status out_of_range(const std::string& path, absl::string_view why)
{
    return make_error(absl::StatusCode::kInvalidArgument,
                      error_number::out_of_range,
                      absl::StrCat(path, ": ", why));
}

absl::Status check_order(const model_order& order, const std::string& path)
{
    if (std::find(actions.begin(), actions.end(), order.action) == actions.end())
    {
        return out_of_range(path + ".action",
                            "is none of load_model, unload_model, load_adapter, "
                            "change_role");
    }
    if (order.model.empty() || order.model.size() > max_field_bytes)
    {
        return out_of_range(path + ".model", "1 to 128 bytes");
    }
    if (order.version.size() > max_field_bytes)
    {
        return out_of_range(path + ".version", "at most 128 bytes");
    }
    return absl::OkStatus();
}

absl::StatusOr<model_order> read_order(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    model_order order;
    order.action = fields.text("action");
    order.model = fields.text("model");
    order.version = fields.text_or("version", "");
    if (!fields.error().ok())
    {
        return fields.error();
    }
    return order;
}

} // namespace

absl::Status validate(const std::vector<model_order>& wanted)
{
    if (wanted.size() > max_orders)
    {
        return out_of_range("wanted", "more than 64 orders");
    }
    absl::Status status;
    for (std::size_t at = 0; at < wanted.size() && status.ok(); ++at)
    {
        status = check_order(wanted[at], absl::StrCat("wanted[", at, "]"));
    }
    return status;
}

absl::StatusOr<pool_orders> parse_pool_orders(absl::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json_text(text, max_document_bytes);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    field_reader fields(*parsed, "");
    pool_orders orders;
    orders.wanted = fields.items<model_order>("wanted", read_order);
    orders.change_id = fields.text("change_id");
    orders.author = fields.text("author");
    orders.number = revision(
        static_cast<std::uint64_t>(fields.integer_or("revision", 0, 0, max_int64)));
    orders.accepted_at = wall_time(fields.integer_or("accepted_at_ms", 0, 0, max_int64));
    if (!fields.error().ok())
    {
        return fields.error();
    }
    return orders;
}

std::string write_pool_orders(const pool_orders& orders)
{
    json wanted = json::array();
    for (const model_order& each : orders.wanted)
    {
        wanted.push_back(json{
            {"action", each.action}, {"model", each.model}, {"version", each.version}});
    }
    const json object{{"wanted", std::move(wanted)},
                      {"change_id", orders.change_id},
                      {"author", orders.author},
                      {"revision", orders.number.get()},
                      {"accepted_at_ms", orders.accepted_at.since_origin()}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool same_orders(const std::vector<model_order>& a, const std::vector<model_order>& b)
{
    return std::equal(a.begin(),
                      a.end(),
                      b.begin(),
                      b.end(),
                      [](const model_order& one, const model_order& other)
                      {
                          return one.action == other.action && one.model == other.model &&
                                 one.version == other.version;
                      });
}

} // namespace medlar
