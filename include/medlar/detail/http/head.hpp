#ifndef MEDLAR_DETAIL_HTTP_HEAD_HPP
#define MEDLAR_DETAIL_HTTP_HEAD_HPP

#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// @brief one header line of an HTTP message
struct header_field
{
    std::string name;
    std::string value;
};

/// @brief The header lines of an HTTP message in the order in which they came; names are
/// compared without case.
class header_list
{
  public:
    /// @brief Appends a line.
    void add(std::string name, std::string value);

    /// @brief the value of the first line of that name
    /// @return nullptr if there is none
    const std::string* find(absl::string_view name) const;

    /// @brief the value of the first line of that name, or an empty text
    absl::string_view get(absl::string_view name) const;

    /// @brief the number of lines of that name
    std::size_t count(absl::string_view name) const;

    /// @brief Removes all lines of that name.
    void remove(absl::string_view name);

    /// @brief whether a comma-separated header contains @p token, without case
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

/// @brief how the end of a message's body is found
enum class body_kind
{
    none,
    length,
    chunked,
    until_close,
};

/// @brief the framing of one body
struct body_framing
{
    body_kind kind = body_kind::none;
    /// bytes of the body, where kind is length
    std::uint64_t length = 0;
};

/// @brief the head of a request
struct request_head
{
    std::string method;
    /// path and query as sent
    std::string target;
    int minor_version = 1;
    header_list headers;
    body_framing framing;

    /// @brief the target without its query
    absl::string_view path() const;

    /// @brief whether the sender keeps the connection open after the answer
    bool keeps_connection() const;
};

/// @brief the head of an answer
struct answer_head
{
    int status = 0;
    std::string phrase;
    int minor_version = 1;
    header_list headers;
    body_framing framing;

    /// @brief whether the sender keeps the connection open after the body
    bool keeps_connection() const;
};

/// @brief whether a header concerns one connection only and is not forwarded
bool is_hop_by_hop(absl::string_view name);

/// @brief Removes the headers that concern one connection only, also those that
/// "Connection" names.
void remove_hop_by_hop(header_list& headers);

/// @brief Appends "NAME: VALUE" lines and the empty line that ends a head.
void write_headers(std::string& out, const header_list& headers);

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_HEAD_HPP
