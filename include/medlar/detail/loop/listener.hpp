#ifndef MEDLAR_DETAIL_LOOP_LISTENER_HPP
#define MEDLAR_DETAIL_LOOP_LISTENER_HPP

#include <medlar/detail/loop/connection.hpp>

#include <Poco/Net/ServerSocket.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace medlar
{

/// @brief Listening TCP socket that accepts connections until it is closed.
class listener : public socket_handler, public std::enable_shared_from_this<listener>
{
  public:
    using accept_action = std::function<void(std::shared_ptr<connection>)>;
    using error_action = std::function<void(const std::string&)>;

    /// @brief Listens at @p where.
    /// @param on_error receives the message of an error while accepting a connection
    /// @return error 901 if the address cannot be used
    static absl::StatusOr<std::shared_ptr<listener>> open(event_loop& loop,
                                                          const endpoint& where,
                                                          accept_action on_accept,
                                                          error_action on_error);

    /// @brief Stops or resumes accepting; connections wait in the backlog meanwhile.
    void set_paused(bool paused);

    /// @brief Closes the listening socket.
    void close();

    void on_ready(readiness ready) override;

  private:
    void update_watch();

    listener(event_loop& loop, accept_action on_accept, error_action on_error);

    event_loop& loop_;
    accept_action on_accept_;
    error_action on_error_;
    Poco::Net::ServerSocket socket_;
    bool open_ = false;
    bool is_paused_ = false;
    /// whether accepting has failed a moment ago
    bool has_failed_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_LISTENER_HPP
