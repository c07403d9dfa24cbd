#ifndef MEDLAR_DETAIL_STORE_HTTP_POOL_HPP
#define MEDLAR_DETAIL_STORE_HTTP_POOL_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace medlar
{

/// @brief one HTTP call to a service of the platform
struct http_call
{
    std::string method = "GET";
    /// path and query, encoded
    std::string target;
    std::string body;
    millis timeout{1000};
};

/// @brief the answer to an http_call
struct http_answer
{
    int status = 0;
    /// value of X-Consul-Index; 0: none
    std::uint64_t index = 0;
    std::string body;
};

/// @brief Keep-alive connections to one address, each used by one call at a time.
/// @note Safe to call from every thread.
class http_pool
{
  public:
    explicit http_pool(endpoint where);

    /// @brief Makes one call.
    /// @return kUnavailable if nothing was sent, kUnknown if a byte may have been sent
    ///     and no whole answer came, kDataLoss if the answer is too large
    absl::StatusOr<http_answer> call(const http_call& what);

    /// @brief Ends the calls in progress and lets every later one fail.
    void close();

    const endpoint& where() const;

  private:
    using session = Poco::Net::HTTPClientSession;

    absl::StatusOr<std::unique_ptr<session>> take(millis timeout);
    absl::StatusOr<std::unique_ptr<session>> connect(millis timeout);
    std::unique_ptr<session> take_idle();
    void give_back(std::unique_ptr<session> used);
    bool begin(session* started);
    void end(session* ended);

    endpoint where_;
    std::mutex mutex_;
    std::list<std::unique_ptr<session>> idle_;
    std::set<session*> active_;
    bool closed_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_STORE_HTTP_POOL_HPP
