#ifndef MEDLAR_DETAIL_LINK_SERVER_CONNECTION_HPP
#define MEDLAR_DETAIL_LINK_SERVER_CONNECTION_HPP

#include <medlar/detail/link/handler_pool.hpp>
#include <medlar/detail/link/server_stream.hpp>
#include <medlar/detail/link/stream_channel.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace medlar
{

/// @brief A connection at the server, with its own thread.
class server_connection : private channel_listener
{
  public:
    server_connection(const Poco::Net::StreamSocket& socket, handler_pool& handlers);

    /// @brief Closes the connection; its calls are cancelled.
    ~server_connection() override;

    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// @brief Returns whether the connection has ended.
    bool ended() const;

  private:
    void serve();

    void on_wake() override;
    bool has_streams() const override;
    void on_settings() override;
    void on_header(std::int32_t stream,
                   absl::string_view name,
                   absl::string_view value) override;
    void on_data(std::int32_t stream, absl::string_view part) override;
    void on_end(std::int32_t stream) override;
    void on_closed(std::int32_t stream, std::uint32_t error) override;
    std::size_t read_body(std::int32_t stream,
                          std::uint8_t* out,
                          std::size_t capacity,
                          bool& ended) override;

    server_stream* find(std::int32_t stream);
    void refuse(std::int32_t stream, int status);

    handler_pool& handlers_;
    std::shared_ptr<stream_mailbox> mailbox_ = std::make_shared<stream_mailbox>();
    std::map<std::int32_t, std::shared_ptr<server_stream>> streams_;
    std::atomic<std::int64_t> traffic_{0};
    std::atomic<bool> ended_{false};
    stream_channel channel_;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_SERVER_CONNECTION_HPP
