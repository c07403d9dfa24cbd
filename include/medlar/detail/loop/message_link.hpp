#ifndef MEDLAR_DETAIL_LOOP_MESSAGE_LINK_HPP
#define MEDLAR_DETAIL_LOOP_MESSAGE_LINK_HPP

#include <medlar/detail/loop/connection.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>

namespace medlar
{

/// @brief Carries messages between two entry hosts: each is a CBOR value with its length
/// before it.
class message_link : public connection_events,
                     public std::enable_shared_from_this<message_link>
{
  public:
    using message_action = std::function<void(const nlohmann::json&)>;
    using end_action = std::function<void()>;

    /// @brief a link over a connection of either side
    static std::shared_ptr<message_link> create(std::shared_ptr<connection> stream,
                                                message_action on_message,
                                                end_action on_end);

    /// @brief Sends a message; it is lost if the link ends.
    void send(const nlohmann::json& message);

    /// @brief Closes the link; its end is not told.
    void close();

    bool is_open() const
    {
        return stream_->is_open();
    }

    /// @brief bytes that the network has not taken
    std::size_t unsent() const
    {
        return stream_->unsent();
    }

    void on_input() override;
    void on_end(connection_end reason) override;

  private:
    message_link(std::shared_ptr<connection> stream,
                 message_action on_message,
                 end_action on_end);

    /// @return false if the message lacks what its receiver needs
    bool deliver(const nlohmann::json& message);

    std::shared_ptr<connection> stream_;
    message_action on_message_;
    end_action on_end_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_MESSAGE_LINK_HPP
