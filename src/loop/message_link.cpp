#include <medlar/detail/loop/message_link.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

namespace
{

constexpr std::size_t length_bytes = 4;

// exceeds the largest configuration in the store, including its field names
constexpr std::size_t max_message_bytes = 4194304;

std::size_t read_length(absl::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        length = (length << 8U) | static_cast<std::uint8_t>(bytes[i]);
    }
    return length;
}

} // namespace

message_link::message_link(std::shared_ptr<connection> stream,
                           message_action on_message,
                           end_action on_end)
    : stream_(std::move(stream)),
      on_message_(std::move(on_message)),
      on_end_(std::move(on_end))
{
}

message_link::~message_link()
{
    stream_->set_handler(nullptr);
    stream_->close();
}

std::shared_ptr<message_link> message_link::create(std::shared_ptr<connection> stream,
                                                   message_action on_message,
                                                   end_action on_end)
{
    std::shared_ptr<message_link> created(
        new message_link(std::move(stream), std::move(on_message), std::move(on_end)));
    created->stream_->set_handler(created.get());
    return created;
}

void message_link::send(const nlohmann::json& message)
{
    std::string out(length_bytes, '\0');
    nlohmann::json::to_cbor(message, out);
    std::size_t length = out.size() - length_bytes;
    for (std::size_t i = length_bytes; i > 0; --i)
    {
        out[i - 1] = static_cast<char>(length & 0xffU);
        length >>= 8U;
    }
    stream_->send(out);
}

void message_link::close()
{
    stream_->close();
}

void message_link::on_input()
{
    const std::shared_ptr<message_link> self = shared_from_this();
    while (stream_->is_open() && stream_->input().size() >= length_bytes)
    {
        const std::size_t length = read_length(stream_->input());
        if (length > max_message_bytes)
        {
            stream_->close();
            on_end_(connection_end::closed);
            return;
        }
        if (stream_->input().size() < length_bytes + length)
        {
            return;
        }
        const absl::string_view bytes = stream_->input().substr(length_bytes, length);
        const nlohmann::json message =
            nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
        stream_->consume(length_bytes + length);
        if (message.is_discarded())
        {
            stream_->close();
            on_end_(connection_end::closed);
            return;
        }
        on_message_(message);
    }
}

void message_link::on_end(connection_end reason)
{
    const std::shared_ptr<message_link> self = shared_from_this();
    on_end_(reason);
}

} // namespace medlar
