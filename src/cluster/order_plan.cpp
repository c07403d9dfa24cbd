#include <medlar/detail/base/error.hpp>
#include <medlar/detail/cluster/order_plan.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

using nlohmann::json;

// a lease counts as lost 1/drift_divisor of its time to live before it can expire; allows
// for clock drift
constexpr std::int64_t drift_divisor = 50;
// a lease is renewed after 1/renewal_divisor of its time to live
constexpr std::int64_t renewal_divisor = 3;

absl::Status malformed(absl::string_view what, absl::string_view why)
{
    return make_error(absl::StatusCode::kDataLoss,
                      error_number::store_malformed,
                      absl::StrCat(what, ": ", why));
}

absl::string_view to_string(order_action action)
{
    switch (action)
    {
        case order_action::load_model:
            return "load_model";
        case order_action::unload_model:
            return "unload_model";
        case order_action::load_adapter:
            return "load_adapter";
        case order_action::change_role:
            return "change_role";
    }
    return "";
}

// these throw json::exception, which the public functions convert to a status

std::vector<model_version> models_from(const json& list)
{
    std::vector<model_version> models;
    for (const json& item : list)
    {
        models.push_back({model_id(item.at("model").get<std::string>()),
                          item.at("version").get<std::string>()});
    }
    return models;
}

engine_state state_from(const json& object)
{
    engine_state state;
    state.models = models_from(object.at("models"));
    state.adapters = object.at("adapters").get<std::vector<std::string>>();
    state.role = object.at("role").get<std::string>();
    return state;
}

const model_version* find_model(const std::vector<model_version>& models,
                                const model_id& name)
{
    const auto found = std::find_if(models.begin(),
                                    models.end(),
                                    [&name](const model_version& each)
                                    {
                                        return each.model == name;
                                    });
    return found == models.end() ? nullptr : &*found;
}

std::optional<engine_order> next_load(const desired_engine_state& desired,
                                      const engine_state& actual)
{
    for (const model_version& each : desired.models)
    {
        const model_version* loaded = find_model(actual.models, each.model);
        if (loaded == nullptr || loaded->version != each.version)
        {
            return engine_order{order_action::load_model, each, {}, ""};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> next_adapter(const desired_engine_state& desired,
                                         const engine_state& actual)
{
    for (const adapter_version& each : desired.adapters)
    {
        const bool loaded =
            std::find(actual.adapters.begin(), actual.adapters.end(), each.adapter) !=
            actual.adapters.end();
        if (!loaded)
        {
            return engine_order{order_action::load_adapter, {}, each, ""};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> next_unload(const desired_engine_state& desired,
                                        const engine_state& actual)
{
    for (const model_id& each : desired.absent)
    {
        if (const model_version* loaded = find_model(actual.models, each))
        {
            return engine_order{order_action::unload_model, *loaded, {}, ""};
        }
    }
    return std::nullopt;
}

/// @brief Removes the effect of earlier orders for a model.
void remove_model(desired_engine_state& desired, const model_id& name)
{
    const auto same_model = [&name](const model_version& each)
    {
        return each.model == name;
    };
    desired.models.erase(
        std::remove_if(desired.models.begin(), desired.models.end(), same_model),
        desired.models.end());
    desired.absent.erase(std::remove(desired.absent.begin(), desired.absent.end(), name),
                         desired.absent.end());
}

} // namespace

desired_engine_state merge_orders(const std::vector<model_order>& orders)
{
    desired_engine_state desired;
    for (const model_order& order : orders)
    {
        if (order.action == to_string(order_action::load_model))
        {
            remove_model(desired, model_id(order.model));
            desired.models.push_back({model_id(order.model), order.version});
        }
        else if (order.action == to_string(order_action::unload_model))
        {
            remove_model(desired, model_id(order.model));
            desired.absent.emplace_back(order.model);
        }
        else if (order.action == to_string(order_action::load_adapter))
        {
            desired.adapters.push_back({order.model, order.version});
        }
        else if (order.action == to_string(order_action::change_role))
        {
            desired.role = order.model;
        }
    }
    return desired;
}

absl::StatusOr<desired_engine_state> parse_desired_state(absl::string_view text)
{
    const absl::StatusOr<pool_orders> orders = parse_pool_orders(text);
    if (!orders.ok())
    {
        return orders.status();
    }
    const absl::Status valid = validate(orders->wanted);
    if (!valid.ok())
    {
        return valid;
    }
    return merge_orders(orders->wanted);
}

absl::StatusOr<engine_state> parse_engine_state(absl::string_view text)
{
    try
    {
        return state_from(json::parse(text.begin(), text.end()));
    }
    catch (const json::exception& error)
    {
        return malformed("engine state", error.what());
    }
}

std::optional<engine_order> next_order(const desired_engine_state& desired,
                                       const engine_state& actual)
{
    if (desired.role && *desired.role != actual.role)
    {
        return engine_order{order_action::change_role, {}, {}, *desired.role};
    }
    std::optional<engine_order> order = next_load(desired, actual);
    if (!order)
    {
        order = next_adapter(desired, actual);
    }
    if (!order)
    {
        order = next_unload(desired, actual);
    }
    return order;
}

bool loads_weights(const engine_order& order)
{
    return order.action == order_action::load_model ||
           order.action == order_action::load_adapter;
}

std::string write_order(const engine_order& order,
                        fencing_number fencing,
                        const std::string& order_id)
{
    json body = {{"fencing", fencing.get()},
                 {"order_id", order_id},
                 {"action", std::string(to_string(order.action))}};
    switch (order.action)
    {
        case order_action::load_model:
        case order_action::unload_model:
            body["model"] = order.model.model.get();
            body["version"] = order.model.version;
            break;
        case order_action::load_adapter:
            body["adapter"] = order.adapter.adapter;
            body["version"] = order.adapter.version;
            break;
        case order_action::change_role:
            body["role"] = order.role;
            break;
    }
    return body.dump();
}

load_rate_limiter::load_rate_limiter(int limit, millis period)
    : limit_(limit), period_(period)
{
}

void load_rate_limiter::read(absl::string_view text)
{
    loads_.clear();
    const json list = json::parse(text.begin(), text.end(), nullptr, false);
    if (!list.is_array())
    {
        return;
    }
    for (const json& item : list)
    {
        if (item.is_number_integer())
        {
            loads_.emplace_back(item.get<std::int64_t>());
        }
    }
}

std::string load_rate_limiter::write() const
{
    json list = json::array();
    for (const wall_time load : loads_)
    {
        list.push_back(load.since_origin());
    }
    return list.dump();
}

bool load_rate_limiter::try_add(wall_time now)
{
    const auto expired = std::remove_if(loads_.begin(),
                                        loads_.end(),
                                        [this, now](wall_time load)
                                        {
                                            return load + period_ <= now;
                                        });
    loads_.erase(expired, loads_.end());
    if (loads_.size() >= static_cast<std::size_t>(limit_))
    {
        return false;
    }
    loads_.push_back(now);
    return true;
}

lease_tracker::lease_tracker(millis time_to_live) : time_to_live_(time_to_live)
{
}

void lease_tracker::on_renewed(steady_time requested_at)
{
    renewed_at_ = requested_at;
}

void lease_tracker::on_lost()
{
    renewed_at_.reset();
}

bool lease_tracker::is_held(steady_time now) const
{
    const millis certain = time_to_live_ - time_to_live_ / drift_divisor;
    return renewed_at_ && now < *renewed_at_ + certain;
}

bool lease_tracker::renewal_due(steady_time now) const
{
    return !renewed_at_ || now >= *renewed_at_ + time_to_live_ / renewal_divisor;
}

} // namespace medlar
