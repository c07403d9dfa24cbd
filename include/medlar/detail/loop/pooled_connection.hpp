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

    /// @brief Closes the connection, whose events have no receiver any more.
    ~pooled_connection() override;

    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;

    /// @brief Starts connecting.
    void open(millis connect_timeout);

    /// @brief Sends the request of @p call, after its question if this connection has not
    /// answered one yet; the connection must be idle.
    void send_request(const std::shared_ptr<client_call>& call,
                      std::string request,
                      std::shared_ptr<const std::string> body);

    /// @brief Closes the connection of a cancelled call without calling its callbacks.
    void cancel_call();

    /// @brief Closes the connection without calling the callbacks of its call.
    void close();

    const endpoint& where() const
    {
        return where_;
    }

    bool is_established() const
    {
        return stream_->is_established();
    }

    /// @brief Returns whether the idle connection may be reused at @p now.
    bool is_usable(steady_time now, millis max_idle) const;

    /// @brief Returns the time from which the idle connection may not be reused.
    steady_time expires() const
    {
        return expires_;
    }

    /// @brief Returns whether the idle connection stands, however long it was idle.
    bool is_standing() const;

    /// @brief Returns whether it receives an answer whose end only its own end marks.
    bool receives_unframed_answer() const;

    /// @brief Returns whether the connection was established at @p when or before, and
    /// has not ended.
    bool is_open_since(steady_time when) const;

    /// @brief Returns whether the connection was established after @p when.
    bool is_established_after(steady_time when) const
    {
        return established_at_ && *established_at_ > when;
    }

    /// @brief Records that the connection is open, if nothing is left to be read.
    void record_open();

    void on_connected() override;
    void on_input() override;
    void on_end(connection_end reason) override;

  private:
    friend class client_call;

    bool parse_head();
    void parse_body();
    void complete();
    void fail(call_end reason);
    void record_keep_alive(const header_list& headers);
    /// whether the connection ended as those of a process do that ends, and how
    std::optional<connection_loss> loss_of(connection_end reason) const;
    /// whether any byte of the request of the call may have been sent
    bool has_sent_request() const;
    void ask_for_start();
    void limit_question();
    /// what is known of the process without its answer
    start_answer unanswered_start(bool was_asked) const;
    /// goes on without the answer to the question
    void give_up_question();
    /// handles the complete answer to the question
    void finish_question();
    /// ends a connection on which the request cannot be sent
    void end_stream();
    /// opens a new connection in place of one that ended with the question
    void reopen();
    /// sends the request that has waited, if the call accepts the process
    void send_waiting_request();
    void release_after_answer(bool reusable);
    void drop_question();

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
    /// request of a call whose question is not answered yet
    std::optional<std::string> waiting_request_;
    std::shared_ptr<const std::string> waiting_body_;
    /// whether the next answer is that to a question
    bool is_asking_ = false;
    timer_id question_timer_{0};
    std::string question_answer_;
    /// what the process has answered; unset before
    std::optional<start_answer> start_;
    std::optional<steady_time> established_at_;
    /// last time at which it was seen to be open
    steady_time seen_open_at_;
    steady_time idle_since_;
    steady_time expires_;
    millis keep_alive_;
    bool is_keep_alive_stated_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_POOLED_CONNECTION_HPP
