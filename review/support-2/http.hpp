#ifndef REVIEW_SUPPORT_2_HTTP_HPP
#define REVIEW_SUPPORT_2_HTTP_HPP

// HTTP/1.1 over blocking sockets, for stand-ins of clients, servers and the store.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review
{

/// @brief Address on which a stand-in listens or a process of the system serves.
struct address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// @brief Head and body of a request or an answer.
struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @brief Returns the first value of a header; empty if it is missing.
    std::string get(const std::string& name) const;

    /// @brief Returns whether the header is there.
    bool has(const std::string& name) const;
};

/// @brief Outcome of reading an answer.
enum class answer_end
{
    /// by its length or its last chunk
    whole,
    /// by the regular end of a connection without length or chunks
    closed,
    /// before its end
    cut,
    /// nothing came before the connection ended
    none,
    /// nothing more came in time
    timed_out
};

/// @brief Returns the name of an outcome.
const char* to_string(answer_end end);

/// @brief A TCP connection with a buffer of what was received.
class channel
{
  public:
    explicit channel(int descriptor);
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    /// @brief Connects; null if nothing accepts in time.
    static std::unique_ptr<channel> connect(const address& where, int timeout_ms);

    /// @brief Sends all bytes; returns false if the connection has ended.
    bool send(const std::string& bytes);

    /// @brief Reads the next request; nothing if the connection ends first.
    std::optional<message> read_request();

    /// @brief Reads the next answer.
    /// @param timeout_ms longest time for the whole answer
    answer_end read_answer(message& answer, int timeout_ms);

    /// @brief Closes regularly.
    void close();

    /// @brief Closes with a reset.
    void reset();

    /// @brief Returns whether the peer has ended the connection, without reading.
    bool has_ended();

    int descriptor() const
    {
        return descriptor_;
    }

  private:
    enum class receipt
    {
        bytes,
        closed,
        reset,
        timed_out
    };

    receipt receive(std::int64_t until_ms);
    receipt read_head(message& into, std::int64_t until_ms);
    receipt read_length(message& into, std::size_t length, std::int64_t until_ms);
    receipt read_chunks(message& into, std::int64_t until_ms);

    int descriptor_;
    std::string input_;
};

/// @brief Milliseconds of the steady clock.
std::int64_t now_ms();

/// @brief Sleeps.
void pause_ms(std::int64_t span);

/// @brief Listens on a loopback address and handles each connection in a thread.
class server
{
  public:
    using action = std::function<void(channel&)>;

    /// @param where port 0 is replaced by a free one
    server(address where, action on_connection);

    const address& where() const
    {
        return where_;
    }

    /// @brief Stops listening; open connections go on.
    void stop();

  private:
    address where_;
    int descriptor_;
};

/// @brief Writes an answer with a length.
std::string answer_text(int status,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body);

/// @brief Returns the path of a request, without its query.
std::string path_of(const message& request);

/// @brief Returns a decoded parameter of the query of a request.
std::string parameter_of(const message& request, const std::string& name);

/// @brief Returns the status of an answer; 0 if there is none.
int status_of(const message& answer);

/// @brief Returns a base of count consecutive ports that are free on an address.
std::uint16_t free_ports(const std::string& ip, int count);

} // namespace review

#endif // REVIEW_SUPPORT_2_HTTP_HPP
