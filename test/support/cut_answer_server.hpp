#ifndef MEDLAR_TEST_SUPPORT_CUT_ANSWER_SERVER_HPP
#define MEDLAR_TEST_SUPPORT_CUT_ANSWER_SERVER_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/head_parser.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace medlar::test
{

/// @brief What a server does after the last byte of its answer
enum class answer_end
{
    close,
    reset,
    silence, ///< the connection stays open
};

/// @brief When a server sends its answer
enum class answer_time
{
    after_request,
    after_head, ///< the body of the request is not read
};

/// @brief Answers the first request of each connection with given bytes, then ends the
/// connection.
class cut_answer_server
{
  public:
    cut_answer_server(std::string answer,
                      answer_end end,
                      answer_time when = answer_time::after_request)
        : answer_(std::move(answer)),
          end_(end),
          when_(when),
          socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread_(
              [this]
              {
                  run();
              })
    {
    }

    ~cut_answer_server()
    {
        stopped_ = true;
        thread_.join();
    }

    cut_answer_server(const cut_answer_server&) = delete;
    cut_answer_server& operator=(const cut_answer_server&) = delete;

    endpoint where() const
    {
        return {"127.0.0.1", socket_.address().port()};
    }

    /// Returns how many requests were read.
    int requests() const
    {
        return requests_;
    }

  private:
    void run()
    {
        constexpr long poll_interval_us = 1000;
        while (!stopped_)
        {
            if (socket_.poll(Poco::Timespan(poll_interval_us),
                             Poco::Net::Socket::SELECT_READ))
            {
                serve(socket_.acceptConnection());
            }
        }
    }

    void serve(Poco::Net::StreamSocket connection)
    {
        try
        {
            if (!read_request(connection))
            {
                return;
            }
            ++requests_;
            connection.sendBytes(answer_.data(), static_cast<int>(answer_.size()));
        }
        catch (const Poco::Exception&)
        {
            return;
        }
        if (end_ == answer_end::silence)
        {
            open_.push_back(connection);
            return;
        }
        if (end_ == answer_end::reset)
        {
            connection.setLinger(true, 0);
        }
        connection.close();
    }

    bool read_request(Poco::Net::StreamSocket& connection)
    {
        constexpr std::size_t max_head_bytes = 16384;
        std::string received;
        std::array<char, 4096> part{};
        for (;;)
        {
            const int size =
                connection.receiveBytes(part.data(), static_cast<int>(part.size()));
            if (size <= 0)
            {
                return false;
            }
            received.append(part.data(), static_cast<std::size_t>(size));
            const auto parsed = parse_request_head(received, max_head_bytes);
            const auto* head = std::get_if<parsed_head<request_head>>(&parsed);
            if (head != nullptr && when_ == answer_time::after_head)
            {
                return true;
            }
            if (head != nullptr &&
                received.size() >= head->consumed + head->head.framing.length)
            {
                return true;
            }
        }
    }

    const std::string answer_;
    const answer_end end_;
    const answer_time when_;
    Poco::Net::ServerSocket socket_;
    std::vector<Poco::Net::StreamSocket> open_;
    std::atomic<int> requests_{0};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

/// @brief Returns an answer without a length whose body is one chunk and the last one.
inline std::string chunked_answer(const std::string& status, const std::string& body)
{
    std::string text = "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    append_chunk(text, body);
    return text + std::string(last_chunk);
}

/// @brief Returns the beginnings of @p answer that end within its last chunk, before it
/// or within the line end before it.
inline std::vector<std::string> cut_before_the_last_chunk(const std::string& answer)
{
    std::vector<std::string> cuts;
    const std::size_t end_of_data = answer.size() - last_chunk.size() - 2;
    for (std::size_t size = end_of_data; size < answer.size(); ++size)
    {
        cuts.push_back(answer.substr(0, size));
    }
    return cuts;
}

/// @brief Returns the beginnings of @p answer that end within its head, after each byte
/// from the end of the status line.
inline std::vector<std::string> cut_heads(const std::string& answer)
{
    std::vector<std::string> cuts;
    const std::size_t end_of_head = answer.find("\r\n\r\n") + 4;
    for (std::size_t size = answer.find("\r\n"); size < end_of_head; ++size)
    {
        cuts.push_back(answer.substr(0, size));
    }
    return cuts;
}

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_CUT_ANSWER_SERVER_HPP
