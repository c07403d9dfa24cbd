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

/// @brief A request, and the conditions that cancel it.
struct watched_request
{
    std::shared_ptr<cancel_token> token;
    steady_time deadline;
    /// the caller's socket; unset: a disconnect does not cancel the request
    std::optional<int> caller_socket;
};

/// @brief A thread that cancels requests whose deadline has passed or whose caller has
/// closed its side of the connection.
class request_watch
{
  public:
    /// @param check_interval interval of the checks of all requests
    static std::unique_ptr<request_watch> create(const clock& time,
                                                 millis check_interval);

    ~request_watch();

    /// @brief Watches a request during the lifetime of this object.
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
