#include <medlar/detail/base/error.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/link/link_limits.hpp>
#include <medlar/detail/link/server_connection.hpp>
#include <medlar/detail/link/wake_pipe.hpp>
#include <medlar/detail/loop/listening_socket.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <absl/strings/str_cat.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <utility>
#include <vector>

namespace medlar
{

namespace
{

constexpr int listen_backlog = 256;

/// @brief A link_server on a listening POCO socket.
class socket_link_server : public link_server
{
  public:
    socket_link_server(const Poco::Net::ServerSocket& listening,
                       link_handler handler,
                       int max_streams)
        : listening_(listening),
          handlers_(std::move(handler), max_streams),
          thread_(
              [this]
              {
                  accept_all();
              })
    {
    }

    ~socket_link_server() override
    {
        stopping_.store(true);
        wake_.wake();
        thread_.join();
        connections_.clear();
    }

    endpoint where() const override
    {
        const Poco::Net::SocketAddress bound = listening_.address();
        return {bound.host().toString(), bound.port()};
    }

  private:
    void accept_all()
    {
        while (!stopping_.load())
        {
            const bool readable = wait();
            remove_ended();
            if (readable)
            {
                accept_one();
            }
        }
    }

    bool wait()
    {
        std::array<pollfd, 2> watched{
            {{listening_.impl()->sockfd(), POLLIN, 0}, {wake_.descriptor(), POLLIN, 0}}};
        poll(watched.data(),
             watched.size(),
             static_cast<int>(accept_poll_interval.count()));
        return (watched[0].revents & POLLIN) != 0;
    }

    void accept_one()
    {
        try
        {
            const Poco::Net::StreamSocket accepted = listening_.acceptConnection();
            if (connections_.size() < link_limits::max_connections)
            {
                connections_.push_back(
                    std::make_unique<server_connection>(accepted, handlers_));
            }
        }
        catch (const Poco::Exception&)
        {
            // the client has disconnected, or file descriptors are exhausted; the pause
            // avoids a busy loop while they are
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    void remove_ended()
    {
        const auto ended = std::remove_if(connections_.begin(),
                                          connections_.end(),
                                          [](const auto& each)
                                          {
                                              return each->ended();
                                          });
        connections_.erase(ended, connections_.end());
    }

    // interval at which ended connections are removed without a new one
    static constexpr millis accept_poll_interval{2000};

    Poco::Net::ServerSocket listening_;
    handler_pool handlers_;
    wake_pipe wake_;
    std::atomic<bool> stopping_{false};
    // used by the accepting thread only
    std::vector<std::unique_ptr<server_connection>> connections_;
    std::thread thread_;
};

} // namespace

absl::StatusOr<std::unique_ptr<link_server>>
link_server::create(const endpoint& where, link_handler handler, int max_streams)
{
    try
    {
        return std::make_unique<socket_link_server>(
            open_listening_socket(where, listen_backlog),
            std::move(handler),
            max_streams);
    }
    catch (const Poco::Exception& failed)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::bad_setting,
                          absl::StrCat("cannot listen for links on ",
                                       to_string(where),
                                       ": ",
                                       failed.displayText()));
    }
}

} // namespace medlar
