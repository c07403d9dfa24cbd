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

/// @brief The answer to one caller: tokens as they come, if it wants them, and the
/// answer in the end.
/// @note Safe to call from every thread.
class caller_stream
{
  public:
    explicit caller_stream(Poco::Net::HTTPServerResponse& response);

    /// @brief Sends a token, unless it was sent before.
    void
    send_token(const std::string& stage, std::int64_t index, const std::string& text);

    /// @brief Sends the answer and ends the response.
    void send_answer(const request_id& id, const final_answer& answer);

  private:
    void send_line(const std::string& line);

    Poco::Net::HTTPServerResponse& response_;
    std::mutex mutex_;
    std::ostream* body_ = nullptr;
    // index of the next token of each stage
    std::map<std::string, std::int64_t> next_;
};

/// @brief Sends a JSON text with a status.
void send_json(Poco::Net::HTTPServerResponse& response,
               int status,
               const std::string& text);

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_CALLER_STREAM_HPP
