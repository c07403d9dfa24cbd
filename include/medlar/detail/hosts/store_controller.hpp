#ifndef MEDLAR_DETAIL_HOSTS_STORE_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_STORE_CONTROLLER_HPP

#include <medlar/detail/dispatch/change_source.hpp>
#include <medlar/detail/dispatch/store_absence.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/change_relay.hpp>
#include <medlar/detail/hosts/evacuation_controller.hpp>
#include <medlar/detail/hosts/peer_inquiry.hpp>
#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/hosts/store_mirror.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlar
{

/// @brief Items that were read from the store, and the version that it had, at least,
/// when they were.
struct store_reading
{
    std::vector<store_item> items;
    store_version version;
};

/// @brief Keeps the mirror of the store up to date: reads all items once, then gets the
/// changes from a relay or by a watch of its own; while neither answers, polls other
/// hosts for them. Registers this host under a lease.
class store_controller
{
  public:
    store_controller(entry_context& context,
                     peer_network& peers,
                     store_mirror& mirror,
                     evacuation_controller& evacuations,
                     std::string registration);
    ~store_controller();

    store_controller(const store_controller&) = delete;
    store_controller& operator=(const store_controller&) = delete;

    /// @brief Starts reading the store, registering this host and polling.
    void start();

    /// @brief Applies the settings after they were read again.
    /// @param registration states what this host does by these settings
    void apply_settings(std::string registration);

    /// @brief Ends the registration, so that other hosts stop using this one.
    void leave();

    /// @brief Writes an item that the store removes after some time. Tries again until it
    /// is written.
    /// @param is_wanted returns whether the item is still to be written
    void write_item(const std::string& key,
                    const std::string& value,
                    millis life,
                    const std::function<bool()>& is_wanted);

    /// @brief Writes an item that stays until it is removed. A failure is ignored.
    void write_lasting_item(const std::string& key, const std::string& value);

    /// @brief Writes an item that the store removes after at least @p life. Several items
    /// share a lease, so that most of them take one call.
    /// @param on_done receives whether it is written
    void write_record(const std::string& key,
                      const std::string& value,
                      millis life,
                      std::function<void(bool)> on_done);

    /// @brief Reads the items below a prefix that is not mirrored.
    /// @param on_read receives them; unset if the store did not answer
    void
    read_items(const std::string& prefix,
               const std::function<void(const std::optional<store_reading>&)>& on_read);

    /// @brief Reads which version the store has now.
    /// @param on_read receives it; unset if the store did not answer
    void read_version(const std::function<void(std::optional<store_version>)>& on_read);

    /// @brief Returns the version of the store up to which this host has all changes.
    store_version known_version() const
    {
        return mirror_.version();
    }

    /// @brief Asks the store for the changes that this host lacks, unless it is waiting
    /// for them already.
    void catch_up();

    /// @brief Removes an item. A failure is ignored: the store removes it after its time.
    void remove_item(const std::string& key);

    /// @brief Removes an item. Tries again until it is removed.
    /// @param is_wanted returns whether the item is still to be removed
    void remove_item(const std::string& key, const std::function<bool()>& is_wanted);

    /// @brief Sets the handler of the begin of a new era: the store may lack what was
    /// written last, also if no host has read it.
    void set_era_handler(std::function<void()> handler)
    {
        on_new_era_ = std::move(handler);
    }

    /// @brief Handles what another host sent about the store.
    /// @return false if the message is of another type
    bool handle_answer(const host_id& from, const nlohmann::json& message);

    /// @brief Answers a request of another host for changes.
    /// @return false if the message is of another type
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Registers this host again after the store has dropped its entry although
    /// its lease may live.
    void handle_registration_gone();

    /// @brief Handles the end of a link that this host opened.
    void handle_peer_lost(const host_id& host, connection_end reason);

    /// @brief Handles the end of a link that another host opened.
    void handle_requester_lost(const message_link* link);

    /// @brief whether the store answered this host recently
    bool is_in_contact() const;

    /// @brief Returns for how long this host's copy of the store may have been out of
    /// date.
    millis copy_age() const
    {
        return context_.loop.now() - source_choice_.current_as_of();
    }

    /// @brief whether this host has learnt from its peers what the store, if it has
    /// returned from an old copy, does not tell it
    bool has_asked_peers() const
    {
        return inquiry_.is_done(context_.loop.now());
    }

  private:
    struct reply
    {
        int status = 0;
        std::string body;
        /// whether a length or chunks told its end
        bool is_framed = false;
        std::int64_t era = 0;
        /// whether the answer has stated it; otherwise it may be of a later one
        bool states_era = false;
    };

    using reply_action = std::function<void(const reply&)>;

    /// Sends a call to the store. An answer of an old era counts as a failed call.
    /// @param on_reply receives status 0 if the call failed or timed out
    /// @return a function that cancels the call
    std::function<void()>
    call(std::string request, millis timeout, reply_action on_reply);
    void record_contact(bool answered);
    /// @return whether the store has made a change; false if its answer is not whole
    bool is_written(const reply& put) const;
    /// @return the era of an answer; the current one if it states none
    std::int64_t record_era(const answer_head& head);
    void begin_era(std::int64_t era);
    void on_era_begun(store_version before);
    /// @return time between two answers of the store above which it was away
    millis renewal_gap() const;
    millis next_retry_delay();

    void settle();
    void read_all(read_mode mode);
    void read_prefixes_from(std::size_t first, read_mode mode);
    void retry_reading(std::size_t prefix, read_mode mode);
    void finish_reading(std::int64_t era);
    void read_items_after(
        const std::string& prefix,
        const std::string& after,
        const store_reading& collected,
        const std::function<void(const std::optional<store_reading>&)>& on_read);
    /// drops the changes below prefixes that are not mirrored
    void keep_mirrored(store_page& events) const;
    void read_page_after(std::size_t prefix,
                         const std::string& after,
                         read_mode mode,
                         store_page collected);
    void watch();
    void handle_watch_answer(const reply& received, std::uint64_t generation);
    void stop_watching();
    void schedule_watch(millis delay);
    millis watch_hold_time() const;
    void register_host();
    /// writes another registration if this host has one
    void set_registration(std::string registration);
    /// @param asked_at when the lease was asked for
    void write_registration(store_lease lease, steady_time asked_at);
    /// tries again after a failed call
    /// @param lease granted before; unset if none is usable
    void retry_registration(std::optional<store_lease> lease, steady_time asked_at);
    void renew();
    /// sets the prefixes by the settings, those that other items depend on first
    void set_prefixes();
    /// reads the evacuations if a peer that does not mirror them was the last source
    void read_missing_evacuations();
    void read_evacuations_after(const std::string& after, store_page collected);
    /// hosts of this failure domain whose changes include all that this host mirrors
    std::vector<host_id> choose_relays() const;
    void poll_peers();
    /// asks other hosts for what the store may not show, see peer_inquiry
    void ask_peers();
    void send_question(std::size_t peers, bool is_starting);
    nlohmann::json
    answer_question(store_version since, bool is_starting, steady_time now) const;

    // changes from a relay
    void choose_source();
    void apply_source(const change_source& chosen);
    void follow(const host_id& relay);
    /// asks the store for its era, after a peer has reported a newer one
    void verify_era();
    void handle_news(const nlohmann::json& message);
    void handle_current(const host_id& from, const nlohmann::json& message);

    entry_context& context_;
    peer_network& peers_;
    store_mirror& mirror_;
    evacuation_controller& evacuations_;
    change_relay relay_;
    change_source_choice source_choice_;
    change_source source_;
    peer_inquiry inquiry_;
    store_absence absence_;
    std::string registration_;
    std::vector<std::string> prefixes_;
    std::optional<store_lease> lease_;
    /// lease of the records that are written now, and when it was granted
    std::optional<store_lease> record_lease_;
    steady_time record_lease_at_;
    std::int64_t read_revision_ = 0;
    steady_time last_contact_;
    steady_time asked_relay_at_;
    steady_time relays_ranked_at_;
    bool is_store_lost_ = false;
    /// when a peer last had changes of the store that this host could not read; entries
    /// do not lapse then, so one that is missing is gone
    steady_time served_others_at_;
    bool is_leaving_ = false;
    bool is_settled_ = false;
    bool is_era_missing_ = false;
    bool is_verifying_era_ = false;
    bool is_reading_evacuations_ = false;
    bool is_source_timer_set_ = false;
    millis retry_delay_{0};
    std::uint64_t registration_number_ = 0;
    std::uint64_t read_generation_ = 0;
    bool is_reading_ = false;
    bool is_watching_ = false;
    bool is_watch_due_ = false;
    std::uint64_t watch_number_ = 0;
    /// how long the store holds the current watch
    millis watch_hold_{0};
    std::function<void()> cancel_watch_ = [] {};
    std::function<void()> on_new_era_ = [] {};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_STORE_CONTROLLER_HPP
