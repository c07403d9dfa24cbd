#ifndef MEDLAR_DETAIL_LINK_HANDLER_POOL_HPP
#define MEDLAR_DETAIL_LINK_HANDLER_POOL_HPP

#include <medlar/detail/link/link.hpp>
#include <medlar/detail/link/server_stream.hpp>

#include <Poco/ThreadPool.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace medlar
{

/// @brief Runs the handler on threads of a pool. Each path has its own bound, so that
/// long calls on one path do not keep out those on another.
/// @note Safe to call from every thread.
class handler_pool
{
  public:
    /// @param max_per_path calls of one path served at once
    handler_pool(link_handler handler, int max_per_path);

    /// @brief waits for the calls that run
    ~handler_pool();

    handler_pool(const handler_pool&) = delete;
    handler_pool& operator=(const handler_pool&) = delete;

    /// @brief Starts to serve a call.
    /// @return false if too many are being served
    bool start(const std::shared_ptr<server_stream>& stream);

  private:
    class job;

    bool acquire_slot(const std::string& path);
    void release_slot(const std::string& path);
    void serve(server_stream& stream) noexcept;

    const link_handler handler_;
    const int max_per_path_;
    std::mutex mutex_;
    std::map<std::string, int> active_calls_;
    Poco::ThreadPool threads_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_HANDLER_POOL_HPP
