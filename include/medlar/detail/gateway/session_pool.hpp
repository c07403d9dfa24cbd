#ifndef MEDLAR_DETAIL_GATEWAY_SESSION_POOL_HPP
#define MEDLAR_DETAIL_GATEWAY_SESSION_POOL_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/client/http_session.hpp>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace medlar
{

/// @brief An HTTP connection to a target.
using target_session = std::unique_ptr<http_session>;

/// @brief Pool of persistent HTTP connections to targets.
/// @note Thread-safe.
class session_pool
{
  public:
    /// @param connect_timeout time limit for opening a connection
    /// @param max_idle time after which an idle connection is not used again
    static std::unique_ptr<session_pool>
    create(const clock& time, millis connect_timeout, millis max_idle);

    /// @brief Returns an idle connection that is still open, or a new one.
    /// @param force_new always open a new connection
    /// @return nullptr if no connection can be opened
    target_session take(const endpoint& remote, bool force_new);

    /// @brief Returns a connection to the pool. Its last answer must have been read to
    /// its end.
    void give_back(const endpoint& remote, target_session session);

  private:
    struct idle_session
    {
        target_session session;
        steady_time idle_since;
    };

    struct shard
    {
        std::mutex mutex;
        std::map<endpoint, std::vector<idle_session>> idle;
    };

    static constexpr std::size_t shard_count = 8;
    static constexpr std::size_t max_idle_per_endpoint = 256;

    session_pool(const clock& time, millis connect_timeout, millis max_idle);

    target_session take_idle(const endpoint& remote);
    target_session open(const endpoint& remote) const;
    shard& shard_for(const endpoint& remote);

    const clock& time_;
    millis connect_timeout_;
    millis max_idle_;
    std::array<shard, shard_count> shards_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_SESSION_POOL_HPP
