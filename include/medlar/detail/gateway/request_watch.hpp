#ifndef MEDLAR_DETAIL_GATEWAY_REQUEST_WATCH_HPP
#define MEDLAR_DETAIL_GATEWAY_REQUEST_WATCH_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/gateway/cancel_token.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace medlar
{

/// @brief what is watched of one request
struct watched_request
{
    std::shared_ptr<cancel_token> token;
    steady_time deadline;
    /// socket of its caller; unset: the caller's going is of no matter
    std::optional<int> caller_socket;
};

/// @brief One thread that cancels requests whose deadline is over or whose caller has
/// closed its side of the connection.
class request_watch
{
  public:
    /// @param check_interval time between two looks at all requests
    static std::unique_ptr<request_watch> create(const clock& time,
                                                 millis check_interval);

    ~request_watch();

    /// @brief a request that is watched as long as this lives
    class scoped_watch
    {
      public:
        scoped_watch(request_watch& watch, watched_request request);
        scoped_watch(const scoped_watch&) = delete;
        scoped_watch& operator=(const scoped_watch&) = delete;
        ~scoped_watch();

      private:
        request_watch& watch_;
        std::uint64_t number_;
    };

  private:
    request_watch(const clock& time, millis check_interval);

    void run();
    void check_all();

    const clock& time_;
    millis check_interval_;
    std::shared_ptr<cancel_token> stop_ = cancel_token::create();
    std::mutex mutex_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, watched_request> watched_;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_REQUEST_WATCH_HPP
