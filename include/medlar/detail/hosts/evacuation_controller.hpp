#ifndef MEDLAR_DETAIL_HOSTS_EVACUATION_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_EVACUATION_CONTROLLER_HPP

#include <medlar/detail/dispatch/evacuation_list.hpp>
#include <medlar/detail/entry/entry_context.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace medlar
{

/// @brief Keeps the targets of evacuated failure domains from getting work, as the store
/// and the other hosts name them.
class evacuation_controller
{
  public:
    using held_evacuations = std::vector<std::pair<failure_domain_id, millis>>;

    explicit evacuation_controller(entry_context& context);

    /// @brief Sets the handler of targets that may get work again.
    void set_return_handler(std::function<void(const target_id&)> handler)
    {
        on_return_ = std::move(handler);
    }

    /// @brief Handles an item of the store that names an evacuated failure domain. Only
    /// its presence counts; a value that is not a JSON object is logged.
    void handle_item(const store_item& item);

    /// @brief Handles that an item lapsed and may be written again until @p until.
    void handle_item_expired(const std::string& key, steady_time until);

    /// @brief Ends the evacuations that are held no longer.
    void tick();

    /// @brief Starts to log evacuations, since the targets are known now.
    void begin_log();

    /// @brief Sets the gauges.
    void write_metrics() const;

    /// @brief Adds the evacuations that the store does not show to a message for a host
    /// that starts.
    void write_held(nlohmann::json& message) const;

    /// @brief Reads what another host's write_held() has added; none if there is nothing.
    /// @throw nlohmann::json::exception if it is malformed
    static held_evacuations read_held(const nlohmann::json& message);

    /// @brief Applies the evacuations that another host holds.
    void apply_held(const held_evacuations& held);

  private:
    bool is_enabled() const
    {
        return context_.settings.evacuate_bound.has_value();
    }
    failure_domain_id domain_of(const std::string& key) const;
    void log_unreadable(const store_item& item);
    void end(const failure_domain_id& domain);
    void log_begin(const failure_domain_id& domain) const;
    void log_end(const failure_domain_id& domain) const;

    entry_context& context_;
    evacuation_list evacuations_;
    bool is_logging_ = false;
    std::function<void(const target_id&)> on_return_ = [](const target_id&) {};
    /// hashes of the unreadable values that were logged; a writer may repeat them
    std::map<std::string, std::size_t> unreadable_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_EVACUATION_CONTROLLER_HPP
