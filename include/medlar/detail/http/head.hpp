#ifndef MEDLAR_DETAIL_HTTP_HEAD_HPP
#define MEDLAR_DETAIL_HTTP_HEAD_HPP

#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// @brief A header field of an HTTP message.
struct header_field
{
    std::string name;
    std::string value;
};

/// @brief The header fields of an HTTP message in their original order; names are
/// case-insensitive.
class header_list
{
  public:
    /// @brief Appends a field.
    void add(std::string name, std::string value);

    /// @brief Returns the value of the first field with that name, or nullptr.
    const std::string* find(absl::string_view name) const;

    /// @brief Returns the value of the first field with that name, or an empty string.
    absl::string_view get(absl::string_view name) const;

    /// @brief Returns the number of fields with that name.
    std::size_t count(absl::string_view name) const;

    /// @brief Removes all fields with that name.
    void remove(absl::string_view name);

    /// @brief Returns whether a comma-separated field contains @p token, ignoring case.
    bool has_token(absl::string_view name, absl::string_view token) const;

    std::vector<header_field>::const_iterator begin() const
    {
        return fields_.begin();
    }

    std::vector<header_field>::const_iterator end() const
    {
        return fields_.end();
    }

  private:
    std::vector<header_field> fields_;
};

/// @brief How the end of a message body is determined.
enum class body_kind
{
    none,
    length,
    chunked,
    until_close,
};

/// @brief Returns the name of a kind in logs, such as "until_close".
absl::string_view to_string(body_kind kind);

/// @brief Framing of a message body.
struct body_framing
{
    body_kind kind = body_kind::none;
    /// size of the body in bytes if kind is body_kind::length
    std::uint64_t length = 0;
};

/// @brief Head of an HTTP request.
struct request_head
{
    std::string method;
    /// path and query, not decoded
    std::string target;
    int minor_version = 1;
    header_list headers;
    body_framing framing;

    /// @brief Returns the target without its query.
    absl::string_view path() const;

    /// @brief Returns whether the sender keeps the connection open after the answer.
    bool keeps_connection() const;
};

/// @brief Head of an HTTP answer.
struct answer_head
{
    int status = 0;
    std::string reason_phrase;
    int minor_version = 1;
    header_list headers;
    body_framing framing;

    /// @brief Returns whether the sender keeps the connection open after the body.
    bool keeps_connection() const;
};

/// @brief Returns whether a header is hop-by-hop and must not be forwarded.
bool is_hop_by_hop(absl::string_view name);

/// @brief Removes the hop-by-hop headers, including those listed in "Connection".
void remove_hop_by_hop(header_list& headers);

/// @brief Appends the fields as "NAME: VALUE" lines and the empty line that ends a head.
void write_headers(std::string& out, const header_list& headers);

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_HEAD_HPP
