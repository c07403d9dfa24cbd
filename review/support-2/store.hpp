#ifndef REVIEW_SUPPORT_2_STORE_HPP
#define REVIEW_SUPPORT_2_STORE_HPP

// Stand-in for the platform's key-value store, as PROTOCOL.md describes it.

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review
{

/// @brief Keeps items and leases in memory and serves them over HTTP.
class store
{
  public:
    explicit store(const std::string& ip);

    /// @brief Returns where the store listens.
    const address& where() const
    {
        return server_->where();
    }

    /// @brief Writes an item without a lease, as the operator and the servers do.
    void put(const std::string& key, const nlohmann::json& value);

    /// @brief Removes an item.
    void remove(const std::string& key);

    /// @brief Returns how many items have a prefix.
    std::size_t count(const std::string& prefix);

  private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct event
    {
        std::string key;
        std::int64_t revision = 0;
        bool is_deleted = false;
        item written;
    };

    void serve(channel& peer);
    std::string answer(const message& request);
    nlohmann::json to_json(const std::string& key, const item& what) const;
    std::string range(const message& request);
    std::string watch(const message& request);
    std::string change(const nlohmann::json& body);
    std::string lease_call(const std::string& path, const message& request);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void erase(const std::string& key);
    void end_leases();
    std::string json_answer(int status, const nlohmann::json& body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> leases_;
    std::int64_t revision_ = 100;
    std::int64_t last_lease_ = 1000;
    std::unique_ptr<server> server_;
};

} // namespace review

#endif // REVIEW_SUPPORT_2_STORE_HPP
