#ifndef MEDLAR_TEST_OVERLOAD_CROWD_HPP
#define MEDLAR_TEST_OVERLOAD_CROWD_HPP

#include <medlar/detail/loop/connection.hpp>
#include <medlar/detail/loop/listener.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
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

/// Most bytes that a trickling peer reads at a time, and how often: at most 40 KB a
/// second. TCP would give up the connection if the window opened less often.
constexpr std::size_t trickle_bytes = 2048;
constexpr millis trickle_interval{50};

/// Keeps the window of a socket small, or its kernel would read for the process.
inline void set_small_window(Poco::Net::Socket& socket)
{
    constexpr int window_bytes = 1024;
    constexpr int segment_bytes = 88;
    socket.setReceiveBufferSize(window_bytes);
    socket.setOption(IPPROTO_TCP, TCP_MAXSEG, segment_bytes);
}

/// @brief A client that takes a few bytes of its answer now and then.
class trickling_reader
{
  public:
    trickling_reader(event_loop& loop, const endpoint& to, const std::string& request)
        : loop_(loop), socket_(Poco::Net::SocketAddress::IPv4)
    {
        set_small_window(socket_);
        socket_.connect(Poco::Net::SocketAddress(to.address, to.port));
        socket_.sendBytes(request.data(), static_cast<int>(request.size()));
        socket_.setBlocking(false);
        read_later();
    }

    ~trickling_reader()
    {
        loop_.cancel(timer_);
    }

    trickling_reader(const trickling_reader&) = delete;
    trickling_reader& operator=(const trickling_reader&) = delete;

  private:
    void read_later()
    {
        timer_ = loop_.after(trickle_interval,
                             [this]
                             {
                                 read();
                             });
    }

    void read()
    {
        std::array<char, trickle_bytes> part{};
        const io_result got =
            receive_some(socket_, part.data(), static_cast<int>(part.size()));
        if (got.status == io_status::done || got.status == io_status::blocked)
        {
            read_later();
        }
    }

    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    timer_id timer_{0};
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

/// @brief A target whose kernel waits for as long as the host does not read, unlike that
/// of extreme_target. It answers each request with a long body, or takes a few bytes of
/// each request now and then.
class patient_target
{
  public:
    /// @param answer_bytes size of the body of its answers; 0 reads slowly
    patient_target(event_loop& loop, const endpoint& where, std::size_t answer_bytes)
        : loop_(loop), answer_bytes_(answer_bytes)
    {
        listening_.bind(Poco::Net::SocketAddress(where.address, where.port), true);
        if (answer_bytes_ == 0)
        {
            set_small_window(listening_);
        }
        constexpr int backlog = 1000;
        listening_.listen(backlog);
        turn();
    }

    ~patient_target()
    {
        loop_.cancel(timer_);
    }

    patient_target(const patient_target&) = delete;
    patient_target& operator=(const patient_target&) = delete;

  private:
    struct call
    {
        Poco::Net::StreamSocket socket;
        bool is_begun = false;
        /// bytes of the answer that are still to be sent
        std::size_t left = 0;
    };

    void turn()
    {
        constexpr int send_buffer_bytes = 65536;
        while (listening_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        {
            calls_.push_back({listening_.acceptConnection(), false, 0});
            calls_.back().socket.setBlocking(false);
            // the kernel would hold megabytes of each answer
            calls_.back().socket.setSendBufferSize(send_buffer_bytes);
        }
        for (call& each : calls_)
        {
            read(each);
            write(each);
        }
        timer_ = loop_.after(trickle_interval,
                             [this]
                             {
                                 turn();
                             });
    }

    void read(call& from)
    {
        std::array<char, trickle_bytes> part{};
        const io_result got =
            receive_some(from.socket, part.data(), static_cast<int>(part.size()));
        if (got.status == io_status::done && answer_bytes_ > 0 && !from.is_begun)
        {
            const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: crowd\r\n"
                                     "Response-Signature: s.1\r\nContent-Length: " +
                                     std::to_string(answer_bytes_) + "\r\n\r\n";
            send_some(from.socket, head.data(), static_cast<int>(head.size()));
            from.is_begun = true;
            from.left = answer_bytes_;
        }
    }

    static void write(call& to)
    {
        static const std::string part(65536, 'x');
        io_result result{io_status::done, 0};
        while (to.left > 0 && result.status == io_status::done)
        {
            result = send_some(
                to.socket, part.data(), static_cast<int>(std::min(to.left, part.size())));
            to.left -= result.bytes;
        }
    }

    event_loop& loop_;
    std::size_t answer_bytes_;
    Poco::Net::ServerSocket listening_;
    std::vector<call> calls_;
    timer_id timer_{0};
};

} // namespace medlar::test

#endif // MEDLAR_TEST_OVERLOAD_CROWD_HPP
