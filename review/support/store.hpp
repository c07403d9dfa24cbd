#ifndef MEDLAR_REVIEW_SUPPORT_STORE_HPP
#define MEDLAR_REVIEW_SUPPORT_STORE_HPP

#include "support/http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

/// @brief Stands in for the platform's metadata store: keys, watches, transactions and
/// leases as its page describes them. It answers in a few ms and loses nothing.
class store
{
  public:
    store();

    std::string address() const
    {
        return server_.address();
    }

    /// @brief Writes an item as the operator or a server would.
    void put(const std::string& key, const nlohmann::json& value);

    /// @brief Loses the answer to the next write of a key, and executes it later.
    void lose_next_write(const std::string& key, milliseconds executed_after);

    /// @brief Returns whether a key exists.
    bool has(const std::string& key);

    /// what the store has done besides its calls; unset: nothing is told
    std::function<void(const std::string&)> on_event;

    /// @brief Removes an item.
    void remove(const std::string& key);

  private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct lease
    {
        std::chrono::steady_clock::time_point ends;
        milliseconds ttl{0};
    };

    struct change
    {
        std::string key;
        item now;
        bool is_deleted = false;
    };

    bool handle(const http_message& request, http_connection& connection);
    nlohmann::json answer_get(const http_message& request, int& status);
    nlohmann::json answer_range(const http_message& request);
    nlohmann::json answer_watch(const http_message& request);
    nlohmann::json answer_change(const nlohmann::json& wanted, int& status);
    nlohmann::json answer_lease(const http_message& request, int& status);
    /// whether the answer to a write is to be lost; if so, executes it later
    bool is_lost(const nlohmann::json& wanted);
    void put_locked(const std::string& key, const std::string& value, std::int64_t lease);
    void remove_locked(const std::string& key);
    void drop_ended_leases();
    static nlohmann::json to_json(const std::string& key, const item& from);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::int64_t, lease> leases_;
    std::vector<change> history_;
    std::map<std::string, milliseconds> lost_writes_;
    std::int64_t revision_ = 100;
    std::int64_t last_lease_ = 0;
    http_server server_;
};

} // namespace review

#endif // MEDLAR_REVIEW_SUPPORT_STORE_HPP
