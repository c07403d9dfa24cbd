#ifndef MEDLAR_DETAIL_GATEWAY_CALLER_STREAM_HPP
#define MEDLAR_DETAIL_GATEWAY_CALLER_STREAM_HPP

#include <medlar/detail/ownership/claim_table.hpp>

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace medlar
{

/// @brief Writes the HTTP response to one caller: streamed tokens, if any, then the
/// answer.
/// @note Thread-safe.
class caller_stream
{
  public:
    explicit caller_stream(Poco::Net::HTTPServerResponse& response);

    /// @brief Sends a token if it is the next one of its stage; else drops it. After a
    /// retry the same tokens may arrive again.
    void
    send_token(const std::string& stage, std::int64_t index, const std::string& text);

    /// @brief Sends the answer, which ends the response.
    void send_answer(const request_id& id, const final_answer& answer);

  private:
    void send_line(const std::string& line);

    Poco::Net::HTTPServerResponse& response_;
    std::mutex mutex_;
    std::ostream* body_ = nullptr;
    // index of the next token to send, by stage
    std::map<std::string, std::int64_t> next_index_;
};

/// @brief Sends a response with an HTTP status and a JSON body.
void send_json(Poco::Net::HTTPServerResponse& response,
               int status,
               const std::string& text);

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_CALLER_STREAM_HPP
