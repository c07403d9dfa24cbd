#ifndef MEDLAR_DETAIL_HOSTS_STORE_MIRROR_HPP
#define MEDLAR_DETAIL_HOSTS_STORE_MIRROR_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlar
{

/// @brief What became of the changes that another host sent
enum class delta_result
{
    applied,
    older,  ///< this host knows more; only newer content and removals were taken
    no_base ///< changes before it are missing; nothing was changed
};

/// @brief Adds the next page of a prefix to those read before.
void append_page(store_page& reading, const store_page& next);

/// @brief This host's copy of the store's items, from the store itself or from another
/// host that reaches it. Has no I/O and no clock: the time is passed in.
///
/// The store may return from an old copy, in a new era. What the copy shows then is older
/// than what was known: an item keeps its value, and a removed item stays removed, until
/// its writer has written something newer, see content_version.
class store_mirror
{
  public:
    /// receives an item that was added, changed or certainly removed
    using change_handler = std::function<void(const store_item&)>;
    /// receives the key of an item that lapsed and may be written again by @p until
    using lapse_handler = std::function<void(const std::string& key, steady_time until)>;
    /// returns the age of an item's content, if it has one
    using content_reader =
        std::function<std::optional<content_version>(const store_item&)>;

    store_mirror(change_handler on_change,
                 lapse_handler on_lapse,
                 content_reader read_content);

    /// @brief Sets the prefix of the evacuations, and whether this host mirrors them.
    /// What other hosts send covers them only if it says so: hosts of an older build and
    /// those whose settings ask for no evacuations miss their changes. Forgets the
    /// evacuations if they are no longer mirrored.
    void set_evacuations(const std::string& prefix, bool is_mirrored);

    /// @brief Returns whether a host that does not mirror the evacuations was the last
    /// source: the store, or a host that does, has to be asked for them.
    bool lacks_evacuations() const
    {
        return lacks_evacuations_;
    }

    /// @brief Starts a new era. Items of the era before stay in force until they are read
    /// again; does nothing if @p era is not newer.
    void begin_era(std::int64_t era, steady_time now);

    /// @brief Applies changes, in the order of the store; those of an old era are
    /// ignored.
    void apply(const store_page& events, steady_time now);

    /// @brief Replaces all items below one prefix by those of a complete reading.
    void replace(absl::string_view prefix, const store_page& all, steady_time now);

    /// @brief Records that a reading of all prefixes is complete.
    /// @param reached the version of its oldest page
    void finish_reading(store_version reached, steady_time now);

    /// @brief Records that the store is back after an outage: items removed shortly after
    /// it may have lapsed meanwhile, and may be written again.
    void record_outage_end(steady_time now);

    /// @brief the version up to which all changes are applied; its revision is 0 while
    /// the store was not read in its era
    store_version version() const
    {
        return version_;
    }

    /// @brief whether the mirror has the state of the store in the current era
    bool is_filled() const
    {
        return version_.revision > 0;
    }

    /// @brief whether the mirror has had the state of the store in any era
    bool has_been_filled() const
    {
        return has_been_filled_;
    }

    /// @brief Returns whether the mirror holds content or removals that a store which
    /// returned from an old copy may not show.
    bool knows_more_than_store() const;

    /// @brief Returns what changed after @p since, for another host that has the store as
    /// of that version; everything if it is from another era.
    nlohmann::json delta_since(store_version since, steady_time now) const;

    /// @brief Forgets what other hosts told of later versions than the store has reached.
    /// Does nothing unless it was told of one in the era of @p reached.
    /// @return whether there was something to forget; the store is to be read again
    bool forget_after(store_version reached);

    /// @brief Applies another host's delta_since().
    delta_result apply_delta(const nlohmann::json& delta, steady_time now);

  private:
    struct mirrored_item
    {
        store_item item;
        store_version version;
        std::optional<content_version> content;
        /// the store shows older content than this one, since it returned from a copy
        bool is_held = false;
    };

    struct removed_item
    {
        store_version at;
        std::optional<content_version> content;
    };

    /// the version up to which the presence of an item is known
    store_version known_until(const std::string& key) const;
    /// whether an item that a source of version @p as_of shows was removed since
    bool is_removed_since(const std::string& key,
                          store_version version,
                          store_version as_of) const;
    void put(const store_item& item, std::int64_t era, bool is_held);
    void remove(const std::string& key, store_version at, steady_time now);
    /// @param has_evacuations whether the keys include those of evacuations
    void remove_missing(const std::vector<std::string>& keys,
                        bool has_evacuations,
                        steady_time now);
    void record_removal(const std::string& key, const removed_item& removed);
    /// records the removal of an item that is not in items_
    void record_unread_removal(const std::string& key, const removed_item& removed);
    static std::vector<std::pair<std::string, removed_item>>
    read_removals(const nlohmann::json& removals);
    bool is_evacuation(const std::string& key) const;
    nlohmann::json write_evacuations() const;
    void remove_evacuations_except(const std::set<std::string>& keys, steady_time now);
    void apply_removals(const std::vector<std::pair<std::string, removed_item>>& removals,
                        steady_time now);

    change_handler on_change_;
    lapse_handler on_lapse_;
    content_reader read_content_;
    std::map<std::string, mirrored_item> items_;
    std::map<std::string, removed_item> removals_;
    store_version version_;
    bool has_been_filled_ = false;
    /// empty until it is set
    std::string evacuation_prefix_;
    bool mirrors_evacuations_ = false;
    bool lacks_evacuations_ = false;
    /// the newest page that was read of each prefix
    std::map<std::string, store_version> pages_;
    /// removals after this revision of the era are all in removals_
    std::int64_t removals_known_after_ = 0;
    steady_time lapse_window_end_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_STORE_MIRROR_HPP
