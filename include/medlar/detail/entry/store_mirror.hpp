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

/// @brief What this host knows of the store's items, from the store itself or from
/// another host that reaches it. A value: no sockets, time is passed in.
class store_mirror
{
  public:
    /// receives an item that is new or changed, or whose removal is certain
    using change_action = std::function<void(const store_item&)>;
    /// receives the key of an item that is missing and may come back
    using lapse_action = std::function<void(const std::string& key, steady_time until)>;

    store_mirror(change_action on_change, lapse_action on_lapse);

    /// @brief Takes changes in the order in which the store made them.
    void apply(const store_page& events, steady_time now);

    /// @brief Takes all items below one prefix as of the page's revision.
    void replace(absl::string_view prefix, const store_page& all, steady_time now);

    /// @brief Says that the store was away: items that are missing in the time after it
    /// came back may have lapsed, and may come back.
    void note_outage_end(steady_time now);

    /// @brief the revision up to which all changes are known
    std::int64_t revision() const
    {
        return revision_;
    }

    /// @brief whether anything is known
    bool is_filled() const
    {
        return revision_ > 0;
    }

    /// @brief What another host needs that knows the store as of @p since.
    nlohmann::json news_since(std::int64_t since) const;

    /// @brief Takes the news of another host; older news than what is known is left out.
    void take_news(const nlohmann::json& news, steady_time now);

  private:
    void put(const store_item& item);
    void drop(const std::string& key, steady_time now);

    change_action on_change_;
    lapse_action on_lapse_;
    std::map<std::string, store_item> items_;
    std::int64_t revision_ = 0;
    steady_time lapses_until_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_STORE_MIRROR_HPP
