#ifndef MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP
#define MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP

#include <medlar/detail/loop/http_client.hpp>

#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief A connection of an HTTP client; used by one call at a time.
class pooled_connection : public connection_handler,
                          public std::enable_shared_from_this<pooled_connection>
{
  public:
    pooled_connection(http_client& client, endpoint where);

    /// @brief Starts connecting.
    void open(millis connect_timeout);

    /// @brief Sends the request of @p call; the connection must be idle.
    void send_request(const std::shared_ptr<client_call>& call,
                      const std::string& request);

    /// @brief Closes the connection of a cancelled call without calling its callbacks.
    void cancel_call();

    /// @brief Closes the connection without calling the callbacks of its call.
    void close();

    const endpoint& where() const
    {
        return where_;
    }

    /// @brief Returns whether the idle connection may be reused at @p now.
    bool is_usable(steady_time now, millis max_idle) const;

    /// @brief Returns the time from which the idle connection may not be reused.
    steady_time expires() const
    {
        return expires_;
    }

    void on_connected() override
    {
    }

    void on_input() override;
    void on_end(connection_end reason) override;

  private:
    friend class client_call;

    bool parse_head();
    void parse_body();
    void complete();
    void fail(call_end reason);
    void record_keep_alive();

    http_client& client_;
    endpoint where_;
    std::shared_ptr<connection> stream_;
    std::shared_ptr<client_call> call_;
    std::optional<answer_head> head_;
    body_decoder decoder_;
    /// the current answer is informational or not for this call
    bool skipping_answer_ = false;
    int skipped_answers_ = 0;
    std::size_t skipped_bytes_ = 0;
    /// whether the connection was established before the current request was sent
    bool was_established_ = false;
    std::string decoded_;
    steady_time idle_since_;
    steady_time expires_;
    millis keep_alive_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP
