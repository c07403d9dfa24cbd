#ifndef MEDLAR_DETAIL_ENTRY_STORE_CONTROLLER_HPP
#define MEDLAR_DETAIL_ENTRY_STORE_CONTROLLER_HPP

#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/peer_network.hpp>
#include <medlar/detail/entry/store_mirror.hpp>

#include <functional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Keeps the mirror of the store up to date: reads all items once, then watches
/// for changes; while the store does not answer this host, polls other hosts for them.
/// Registers this host under a lease.
class store_controller
{
  public:
    store_controller(entry_context& context,
                     peer_network& peers,
                     store_mirror& mirror,
                     std::string registration);
    ~store_controller();

    store_controller(const store_controller&) = delete;
    store_controller& operator=(const store_controller&) = delete;

    /// @brief Starts reading the store, registering this host and polling.
    void start();

    /// @brief Ends the registration, so that other hosts stop using this one.
    void leave();

    /// @brief Handles the changes that another host sent.
    /// @return false if the message is of another type
    bool handle_answer(const nlohmann::json& message);

    /// @brief Answers a request of another host for changes.
    /// @return false if the message is of another type
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief whether the store answered this host recently
    bool is_in_contact() const;

  private:
    struct reply
    {
        int status = 0;
        std::string body;
    };

    using reply_action = std::function<void(const reply&)>;

    /// Sends a call to the store.
    /// @param on_reply receives status 0 if the call failed or timed out
    /// @return a function that cancels the call
    std::function<void()>
    call(std::string request, millis timeout, reply_action on_reply);
    void record_contact(bool answered);

    void read_all();
    void
    read_page_after(std::size_t prefix, const std::string& after, store_page collected);
    void watch();
    void schedule_watch(millis delay);
    void register_host();
    void renew();
    void poll_peers();

    entry_context& context_;
    peer_network& peers_;
    store_mirror& mirror_;
    std::string registration_;
    std::vector<std::string> prefixes_;
    std::optional<store_lease> lease_;
    std::int64_t read_revision_ = 0;
    steady_time last_contact_;
    bool is_store_lost_ = false;
    bool is_leaving_ = false;
    std::uint64_t read_generation_ = 0;
    bool is_watching_ = false;
    std::function<void()> cancel_watch_ = [] {};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_STORE_CONTROLLER_HPP
