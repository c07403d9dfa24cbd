#ifndef MEDLAR_DETAIL_ENTRY_STORE_MIRROR_HPP
#define MEDLAR_DETAIL_ENTRY_STORE_MIRROR_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief This host's copy of the store's items, from the store itself or from another
/// host that reaches it. Has no I/O and no clock: the time is passed in.
class store_mirror
{
  public:
    /// receives an item that was added, changed or certainly removed
    using change_handler = std::function<void(const store_item&)>;
    /// receives the key of an item that lapsed and may be written again by @p until
    using lapse_handler = std::function<void(const std::string& key, steady_time until)>;

    store_mirror(change_handler on_change, lapse_handler on_lapse);

    /// @brief Applies changes, in the order of the store.
    void apply(const store_page& events, steady_time now);

    /// @brief Replaces all items below one prefix by those of a complete reading.
    void replace(absl::string_view prefix, const store_page& all, steady_time now);

    /// @brief Records that the store is back after an outage: items removed shortly after
    /// it may have lapsed meanwhile, and may be written again.
    void record_outage_end(steady_time now);

    /// @brief the revision up to which all changes are applied
    std::int64_t revision() const
    {
        return revision_;
    }

    /// @brief whether the mirror has any state of the store
    bool is_filled() const
    {
        return revision_ > 0;
    }

    /// @brief Returns the items changed after revision @p since and all keys, for another
    /// host that has the store as of @p since.
    nlohmann::json delta_since(std::int64_t since) const;

    /// @brief Applies another host's delta_since(); ignored if it is not newer.
    void apply_delta(const nlohmann::json& delta, steady_time now);

  private:
    void put(const store_item& item);
    void remove(const std::string& key, steady_time now);

    change_handler on_change_;
    lapse_handler on_lapse_;
    std::map<std::string, store_item> items_;
    std::int64_t revision_ = 0;
    steady_time lapse_window_end_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_STORE_MIRROR_HPP
