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

/// @brief Runs the handler on the threads of a pool. The number of concurrent calls is
/// limited for each path, so that long calls of one path do not block those of another.
/// @note Thread-safe.
class handler_pool
{
  public:
    /// @param max_per_path maximum number of concurrent calls of one path
    handler_pool(link_handler handler, int max_per_path);

    /// @brief Waits for the running calls.
    ~handler_pool();

    handler_pool(const handler_pool&) = delete;
    handler_pool& operator=(const handler_pool&) = delete;

    /// @brief Starts handling a call.
    /// @return false if the limit of its path is reached or no thread is free
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
