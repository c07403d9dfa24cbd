#ifndef MEDLAR_DETAIL_HTTP_BODY_DECODER_HPP
#define MEDLAR_DETAIL_HTTP_BODY_DECODER_HPP

#include <medlar/detail/http/head.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlar
{

/// @brief Takes the bytes of one body out of a connection's bytes, by any framing.
class body_decoder
{
  public:
    body_decoder() = default;

    /// @brief a decoder of one body
    explicit body_decoder(body_framing framing);

    /// @brief Decodes as much as there is.
    /// @param bytes what the connection holds
    /// @param out receives the body's bytes
    /// @return the number of bytes of the connection that were used
    std::size_t decode(absl::string_view bytes, std::string& out);

    /// @brief Says that the sender closed its side in an orderly way.
    /// @note A body that lasts until the close is whole then.
    void handle_close();

    /// @brief whether the whole body was decoded
    bool done() const
    {
        return state_ == state::done;
    }

    /// @brief whether the framing is not valid
    bool failed() const
    {
        return state_ == state::failed;
    }

  private:
    enum class state
    {
        fixed_length,
        until_close,
        chunk_size,
        chunk_data,
        chunk_end,
        trailer,
        done,
        failed,
    };

    std::size_t decode_line(absl::string_view bytes);
    std::size_t copy_data(absl::string_view bytes, std::string& out);

    state state_ = state::done;
    std::uint64_t remaining_ = 0;
};

/// @brief Appends one chunk of a chunked body; an empty text appends nothing.
void append_chunk(std::string& out, absl::string_view data);

/// @brief the bytes that end a chunked body
inline constexpr absl::string_view last_chunk = "0\r\n\r\n";

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_BODY_DECODER_HPP
