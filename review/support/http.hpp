#ifndef MEDLAR_REVIEW_SUPPORT_HTTP_HPP
#define MEDLAR_REVIEW_SUPPORT_HTTP_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace review
{

using milliseconds = std::chrono::milliseconds;

/// @brief A request or an answer with its whole body.
struct http_message
{
    /// method and target of a request, or version and status of an answer
    std::string first;
    std::string second;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// whether the body has arrived as a whole
    bool is_complete = false;

    /// @brief Returns the value of a header, or an empty text.
    std::string header(const std::string& name) const;

    /// @brief Returns the path of a request.
    std::string path() const;

    /// @brief Returns the value of a field of the query, or an empty text.
    std::string query(const std::string& name) const;

    /// @brief Returns the status of an answer, or 0.
    int status() const;
};

/// @brief One TCP connection with blocking calls; used by one thread at a time.
class http_connection
{
  public:
    explicit http_connection(int descriptor) : descriptor_(descriptor)
    {
    }
    ~http_connection();

    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// @brief Connects to a port of 127.0.0.1.
    /// @param receive_buffer size of the buffer for received bytes; 0: the usual one
    static int connect_to(std::uint16_t port, int receive_buffer = 0);

    /// @brief Reads a request with its body.
    /// @return false if the connection has ended
    bool read_request(http_message& to);

    /// @brief Reads the head of an answer.
    /// @return false if the connection has ended
    bool read_answer_head(http_message& to);

    /// @brief Reads the body of an answer; to.is_complete says if it is whole.
    /// @param bytes_per_s how fast it is read; 0: as fast as possible
    void read_answer_body(http_message& to, double bytes_per_s = 0);

    bool write(const std::string& bytes);

    /// @brief Ends each wait for input after this time.
    void set_timeout(milliseconds timeout) const;

    /// @brief Returns whether the peer has closed the connection or sent bytes.
    bool has_event(milliseconds wait) const;

    void close();

  private:
    bool fill();
    bool read_head(http_message& to);
    bool read_chunks(http_message& to);

    int descriptor_;
    std::string input_;
    double bytes_per_s_ = 0;
};

/// @brief Answers requests at a free port of 127.0.0.1, one thread a connection.
class http_server
{
  public:
    /// handles one request; returns false to close the connection
    using handler =
        std::function<bool(const http_message& request, http_connection& connection)>;

    explicit http_server(handler handle);

    std::uint16_t port() const
    {
        return port_;
    }

    /// @brief address and port, as text
    std::string address() const;

    /// @brief Closes the listener; connections that are open go on.
    void stop_listening();

  private:
    handler handle_;
    std::atomic<int> listener_{-1};
    std::uint16_t port_ = 0;
};

/// @brief Listens at a free port of 127.0.0.1.
/// @param receive_buffer size of the buffers for received bytes; 0: the usual one
/// @return the descriptor
int listen_at_free_port(std::uint16_t& port, int receive_buffer = 0);

/// @brief Accepts a connection.
/// @return its descriptor; below 0 if the listener is closed
int accept_connection(int listener);

/// @brief Returns the text of an answer with a length.
std::string answer_text(int status,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body);

/// @brief Returns a run of free ports of 127.0.0.1, the first one of @p count.
std::uint16_t free_ports(int count);

} // namespace review

#endif // MEDLAR_REVIEW_SUPPORT_HTTP_HPP
