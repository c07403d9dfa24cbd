#ifndef MEDLAR_DETAIL_LOOP_CALLER_CONNECTION_HPP
#define MEDLAR_DETAIL_LOOP_CALLER_CONNECTION_HPP

#include <medlar/detail/loop/http_server.hpp>

#include <memory>
#include <optional>

namespace medlar
{

/// @brief A connection of an HTTP caller; parses its requests and handles one at a time.
class caller_connection : public connection_handler,
                          public std::enable_shared_from_this<caller_connection>
{
  public:
    caller_connection(http_server& server, std::shared_ptr<connection> stream);

    /// @brief Starts reading requests and arms the idle timeout.
    void start();

    /// @brief Closes the connection unless a request is being read or handled.
    void close_if_idle();

    /// @brief Closes the connection at once, also during a request.
    void close();

    /// @brief Returns what ending the connection would free; unset if it holds little, or
    /// its request is handled and its caller reads.
    std::optional<memory_holder> held_memory() const;

    /// @brief Refuses the body that is being received, or resets the connection of a
    /// caller that does not read.
    /// @param is_stalled whether the caller has stopped sending its body
    void end_for_memory(bool is_stalled);

    /// @brief Receives a paused body further.
    /// @param is_granted whether it is not paused again
    void resume_body(bool is_granted);

    /// @brief Returns since when no request has begun or the head of one is incomplete;
    /// unset while a body is received or a request handled.
    std::optional<steady_time> waiting_since() const;

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
    bool is_output_congested() const;
    void record_body_progress(std::size_t bytes);
    void pause_body();
    void clear_pause();
    void
    reject(int status, const std::string& message, absl::string_view more_headers = {});
    void deliver_request();
    void finish_exchange();
    void close_after_answer();
    void arm_timer(millis delay);
    void on_timeout();
    void detach();

    http_server& server_;
    std::shared_ptr<connection> stream_;
    /// request whose body is being read
    std::shared_ptr<caller_exchange> incoming_;
    /// complete request whose answer is not finished
    std::shared_ptr<caller_exchange> exchange_;
    body_decoder decoder_;
    timer_id timer_{0};
    bool head_begun_ = false;
    bool is_paused_ = false;
    bool is_granted_ = false;
    /// when a request last made progress, its body was resumed, or an answer ended
    steady_time last_progress_;
    /// bytes of the body read since then
    std::size_t progress_bytes_ = 0;
    bool keep_alive_ = true;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_CALLER_CONNECTION_HPP
