#ifndef MEDLAR_TEST_OVERLOAD_CROWD_HPP
#define MEDLAR_TEST_OVERLOAD_CROWD_HPP

#include <medlar/detail/loop/connection.hpp>
#include <medlar/detail/loop/listener.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief What each client of a crowd sends after it has connected.
struct crowd_plan
{
    endpoint to;
    /// sent first
    std::string begin;
    /// sent repeatedly after it, one piece at a time
    std::string piece{};
    std::size_t pieces = 0;
    /// sent last
    std::string end{};
    /// whether the clients read what they receive
    bool reads = true;
};

/// @brief A client that sends what its plan states and keeps its connection open.
class crowd_client : public connection_handler
{
  public:
    crowd_client(event_loop& loop, const crowd_plan& plan) : plan_(plan)
    {
        stream_ = plan.reads ? connection::connect(loop, plan.to, millis(10000))
                             : connect_with_small_window(loop, plan.to);
        stream_->set_handler(this);
    }

    ~crowd_client() override
    {
        stream_->set_handler(nullptr);
        stream_->close();
    }

    crowd_client(const crowd_client&) = delete;
    crowd_client& operator=(const crowd_client&) = delete;

    /// Sends the next piece if the socket has taken the one before.
    void send_more()
    {
        if (!stream_->is_established() || stream_->unsent() > 0 || is_done())
        {
            return;
        }
        if (!has_begun_)
        {
            has_begun_ = true;
            stream_->set_input_paused(!plan_.reads);
            stream_->send(plan_.begin);
        }
        else if (sent_pieces_ < plan_.pieces)
        {
            ++sent_pieces_;
            stream_->send(plan_.piece);
        }
        else
        {
            has_finished_ = true;
            stream_->send(plan_.end);
        }
    }

    /// Returns whether it has sent everything, or the host has closed its connection.
    bool is_done() const
    {
        return has_finished_ || has_ended_;
    }

    void on_input() override
    {
        stream_->consume(stream_->input().size());
    }

    void on_end(connection_end) override
    {
        has_ended_ = true;
    }

  private:
    /// The buffers of the kernel alone would take megabytes of an answer.
    static std::shared_ptr<connection> connect_with_small_window(event_loop& loop,
                                                                 const endpoint& to)
    {
        constexpr int window_bytes = 16384;
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
        socket.setReceiveBufferSize(window_bytes);
        socket.connect(Poco::Net::SocketAddress(to.address, to.port));
        return connection::from_accepted(loop, socket);
    }

    const crowd_plan& plan_;
    std::shared_ptr<connection> stream_;
    std::size_t sent_pieces_ = 0;
    bool has_begun_ = false;
    bool has_finished_ = false;
    bool has_ended_ = false;
};

/// @brief A target that reads nothing, or answers each request with a long body.
class extreme_target
{
  public:
    /// @param answer_bytes size of the body of its answers; 0 reads and answers nothing
    extreme_target(event_loop& loop, const endpoint& where, std::size_t answer_bytes)
        : answer_bytes_(answer_bytes)
    {
        listener_ = *listener::open(
            loop,
            where,
            [this](const std::shared_ptr<connection>& accepted)
            {
                calls_.push_back(std::make_unique<call>(accepted, answer_bytes_));
            },
            [](const std::string&) {});
    }

    ~extreme_target()
    {
        listener_->close();
    }

    extreme_target(const extreme_target&) = delete;
    extreme_target& operator=(const extreme_target&) = delete;

  private:
    class call : public connection_handler
    {
      public:
        call(std::shared_ptr<connection> stream, std::size_t answer_bytes)
            : stream_(std::move(stream)), answer_bytes_(answer_bytes)
        {
            stream_->set_handler(this);
            stream_->set_input_paused(answer_bytes_ == 0);
        }

        ~call() override
        {
            stream_->set_handler(nullptr);
            stream_->close();
        }

        void on_input() override
        {
            stream_->consume(stream_->input().size());
            stream_->send("HTTP/1.1 200 OK\r\nAttempt-Id: crowd\r\n"
                          "Response-Signature: s.1\r\nContent-Length: " +
                          std::to_string(answer_bytes_) + "\r\n\r\n");
            on_drained();
        }

        void on_drained() override
        {
            static const std::string part(16384, 'x');
            while (stream_->is_open() && stream_->unsent() == 0 && sent_ < answer_bytes_)
            {
                sent_ += part.size();
                stream_->send(part);
            }
        }

        void on_end(connection_end) override
        {
        }

      private:
        std::shared_ptr<connection> stream_;
        std::size_t answer_bytes_;
        std::size_t sent_ = 0;
    };

    std::size_t answer_bytes_;
    std::shared_ptr<listener> listener_;
    std::vector<std::unique_ptr<call>> calls_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_OVERLOAD_CROWD_HPP
