#ifndef MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP
#define MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP

#include <medlar/detail/loop/http_client.hpp>

#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief One connection of an HTTP client: carries one call at a time.
class pooled_connection : public connection_events,
                          public std::enable_shared_from_this<pooled_connection>
{
  public:
    pooled_connection(http_client& client, endpoint where);

    /// @brief Opens it.
    void open(millis connect_timeout);

    /// @brief Sends a request; the connection must carry no call.
    void send_request(const std::shared_ptr<client_call>& call,
                      const std::string& request);

    /// @brief Drops its call and closes it; the call is not told.
    void cancel_call();

    /// @brief Closes it without telling the call.
    void close();

    const endpoint& where() const
    {
        return where_;
    }

    /// @brief whether it may be used for another call at @p now
    bool is_usable(steady_time now, millis max_idle) const;

    /// @brief when it may not be used any more
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
    bool skipping_answer_ = false;
    bool was_established_ = false;
    std::string decoded_;
    steady_time idle_since_;
    steady_time expires_;
    millis keep_alive_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP
