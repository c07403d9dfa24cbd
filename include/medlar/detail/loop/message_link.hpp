#ifndef MEDLAR_DETAIL_LOOP_MESSAGE_LINK_HPP
#define MEDLAR_DETAIL_LOOP_MESSAGE_LINK_HPP

#include <medlar/detail/loop/connection.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>

namespace medlar
{

/// @brief Exchanges messages between two entry hosts over a TCP connection.
///
/// Each message is a CBOR object, preceded by its size in 4 bytes, most significant
/// first. A link ends with a message that is no CBOR or too long; whether the receiver
/// can read what it holds does not matter to the link.
class message_link : public connection_handler,
                     public std::enable_shared_from_this<message_link>
{
  public:
    /// receives a message, which may be any value if the sender is of another build; must
    /// not throw
    using message_action = std::function<void(const nlohmann::json&)>;
    using end_action = std::function<void(connection_end)>;

    /// @brief Creates a link over an accepted or outgoing connection.
    static std::shared_ptr<message_link> create(std::shared_ptr<connection> stream,
                                                message_action on_message,
                                                end_action on_end);

    /// @brief Closes the connection, whose events have no receiver any more.
    ~message_link() override;

    message_link(const message_link&) = delete;
    message_link& operator=(const message_link&) = delete;

    /// @brief Sends a message without acknowledgement; unsent bytes are lost if the link
    /// ends.
    void send(const nlohmann::json& message);

    /// @brief Closes the link without calling the end action.
    void close();

    bool is_open() const
    {
        return stream_->is_open();
    }

    /// @brief Returns the number of buffered output bytes.
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

    std::shared_ptr<connection> stream_;
    message_action on_message_;
    end_action on_end_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_MESSAGE_LINK_HPP
