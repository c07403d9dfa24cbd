#ifndef MEDLAR_TEST_STANDINS_ENGINE_ORDERS_HPP
#define MEDLAR_TEST_STANDINS_ENGINE_ORDERS_HPP

#include "standins/shared/stage_server.hpp"

#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace standins
{

/// @brief Executes orders to an engine, which change its models, adapters and role.
/// Fencing numbers are checked or ignored, as configured.
class engine_orders
{
  public:
    engine_orders(bool checks_fencing, medlar::millis load_time, const std::string& model)
        : checks_fencing_(checks_fencing), load_time_(load_time)
    {
        models_[model] = "1";
    }

    /// @brief Serves `/v1/order` and `/v1/state`.
    /// @return false if the path is another one
    bool serve(received_call& call)
    {
        if (call.path == "/v1/order")
        {
            serve_order(call);
            return true;
        }
        if (call.path == "/v1/state")
        {
            call.reply(200, state());
            return true;
        }
        return false;
    }

  private:
    void serve_order(received_call& call)
    {
        const std::unique_lock<std::mutex> lock(mutex_);
        const std::int64_t fencing = call.number("fencing");
        if (checks_fencing_ && fencing < fencing_)
        {
            call.reply(409, {{"applied", false}, {"fencing", fencing_}});
            return;
        }
        fencing_ = std::max(fencing_, fencing);
        ++orders_;
        apply(call);
        call.reply(200, {{"applied", true}});
    }

    void apply(const received_call& call)
    {
        const std::string action = call.text("action");
        const std::string model = call.text("model");
        if (action == "load_model" && models_[model] != call.text("version"))
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(load_time_.count()));
            models_[model] = call.text("version");
            ++loads_;
        }
        else if (action == "unload_model")
        {
            models_.erase(model);
        }
        else if (action == "load_adapter")
        {
            adapters_.insert(call.text("adapter"));
        }
        else if (action == "change_role")
        {
            role_ = call.text("role");
        }
    }

    nlohmann::json state()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        nlohmann::json models = nlohmann::json::array();
        for (const auto& [model, version] : models_)
        {
            models.push_back({{"model", model}, {"version", version}});
        }
        return {{"models", models},
                {"adapters", adapters_},
                {"role", role_},
                {"fencing", fencing_},
                {"orders", orders_},
                {"loads", loads_}};
    }

    const bool checks_fencing_;
    const medlar::millis load_time_;
    std::mutex mutex_;
    std::int64_t fencing_ = 0;
    int orders_ = 0;
    int loads_ = 0;
    std::map<std::string, std::string> models_;
    std::set<std::string> adapters_;
    std::string role_ = "generate";
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_ENGINE_ORDERS_HPP
