#ifndef MEDLAR_DETAIL_STORE_HTTP_POOL_HPP
#define MEDLAR_DETAIL_STORE_HTTP_POOL_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/client/http_session.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace medlar
{

/// @brief One HTTP call to a service of the platform.
struct http_call
{
    std::string method = "GET";
    /// path and query, percent-encoded
    std::string target;
    std::string body;
    millis timeout{1000};
};

/// @brief Answer to an http_call.
struct http_answer
{
    int status = 0;
    /// value of X-Consul-Index; 0: none
    std::uint64_t index = 0;
    std::string body;
    /// whether the server serves further calls on the connection
    bool keeps_connection = false;
};

/// @brief Pool of keep-alive connections to one address, each used by one call at a time.
/// @note Thread-safe.
class http_pool
{
  public:
    explicit http_pool(endpoint where);

    /// @brief Sends a request and returns the answer.
    /// @return kUnavailable if nothing was sent, kUnknown if a byte may have been sent
    ///     and no complete answer arrived, kDataLoss if the answer is too large
    absl::StatusOr<http_answer> call(const http_call& request);

    /// @brief Aborts the calls in progress; later ones fail.
    void close();

    const endpoint& where() const;

  private:
    absl::StatusOr<std::unique_ptr<http_session>> acquire_connection(millis timeout);
    absl::StatusOr<std::unique_ptr<http_session>> connect(millis timeout);
    std::unique_ptr<http_session> pop_idle();
    void push_idle(std::unique_ptr<http_session> connection);
    bool mark_active(http_session* connection);
    void mark_inactive(http_session* connection);

    endpoint where_;
    std::mutex mutex_;
    std::list<std::unique_ptr<http_session>> idle_;
    std::set<http_session*> active_;
    bool closed_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_STORE_HTTP_POOL_HPP
