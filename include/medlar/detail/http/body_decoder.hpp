#ifndef MEDLAR_DETAIL_HTTP_BODY_DECODER_HPP
#define MEDLAR_DETAIL_HTTP_BODY_DECODER_HPP

#include <medlar/detail/http/head.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlar
{

/// @brief Incremental decoder of one HTTP message body, with any framing.
class body_decoder
{
  public:
    body_decoder() = default;

    /// @brief Creates a decoder of a body with @p framing.
    explicit body_decoder(body_framing framing);

    /// @brief Decodes as many bytes as possible.
    /// @param bytes unconsumed input of the connection
    /// @param[out] out decoded bytes are appended
    /// @return the number of bytes of @p bytes that were consumed
    std::size_t decode(absl::string_view bytes, std::string& out);

    /// @brief Handles the end of the sender's stream: completes a body delimited by the
    /// close of the connection; any other unfinished body fails.
    void handle_close();

    /// @brief Returns whether the complete body was decoded.
    bool done() const
    {
        return state_ == state::done;
    }

    /// @brief Returns whether the framing is invalid.
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
    std::size_t trailer_bytes_ = 0;
};

/// @brief Appends @p data as one chunk of a chunked body; does nothing if it is empty,
/// since an empty chunk would end the body.
void append_chunk(std::string& out, absl::string_view data);

/// @brief Terminating chunk of a chunked body, without trailers.
inline constexpr absl::string_view last_chunk = "0\r\n\r\n";

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_BODY_DECODER_HPP
