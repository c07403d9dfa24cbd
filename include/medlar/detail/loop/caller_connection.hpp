#ifndef MEDLAR_DETAIL_LOOP_CALLER_CONNECTION_HPP
#define MEDLAR_DETAIL_LOOP_CALLER_CONNECTION_HPP

#include <medlar/detail/loop/http_server.hpp>

#include <memory>

namespace medlar
{

/// @brief One connection of a caller: reads requests one after another.
class caller_connection : public connection_events,
                          public std::enable_shared_from_this<caller_connection>
{
  public:
    caller_connection(http_server& server, std::shared_ptr<connection> stream);

    /// @brief Begins to read.
    void start();

    /// @brief Closes it if no request has begun.
    void close_if_idle();

    /// @brief Closes it whatever it does.
    void close();

    bool has_exchange() const
    {
        return exchange_ != nullptr;
    }

    void on_input() override;
    void on_drained() override;
    void on_end(connection_end reason) override;

  private:
    friend class caller_exchange;

    void parse();
    bool parse_head();
    bool parse_body();
    void reject(int status, const std::string& message);
    void deliver_request();
    void finish_exchange();
    void arm_timer(millis delay);
    void on_timeout();
    void detach();

    http_server& server_;
    std::shared_ptr<connection> stream_;
    std::shared_ptr<caller_exchange> incoming_;
    std::shared_ptr<caller_exchange> exchange_;
    body_decoder decoder_;
    timer_id timer_{0};
    bool head_begun_ = false;
    bool keep_alive_ = true;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_CALLER_CONNECTION_HPP
