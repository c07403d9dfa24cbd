#ifndef MEDLAR_TEST_STANDINS_PLAIN_TARGET_HPP
#define MEDLAR_TEST_STANDINS_PLAIN_TARGET_HPP

#include "standins/shared/stage_server.hpp"

#include <string>

namespace standins
{

/// @brief Slots and simulated execution times of a plain service.
struct plain_settings
{
    medlar::endpoint listen{"127.0.0.1", 0};
    int slots = 4;
    double fixed_us = 500;
    double per_byte_us = 0.5;
    medlar::millis report_lag{200};
};

/// @brief Stand-in for a plain service: encode, retrieve, rerank and call stages.
class plain_target
{
  public:
    explicit plain_target(const plain_settings& settings)
        : settings_(settings),
          work_(settings.slots, settings.report_lag),
          server_(
              settings.listen,
              work_,
              [this](received_call& call, const switches& faults)
              {
                  run(call, faults);
              },
              [](received_call& /*call*/)
              {
                  return false;
              })
    {
    }

    medlar::endpoint where() const
    {
        return server_.where();
    }

    switchboard& board()
    {
        return server_.board();
    }

    work& state()
    {
        return work_;
    }

  private:
    static constexpr std::size_t oversized_bytes = 64UL * 1024 * 1024;

    void run(received_call& call, const switches& faults)
    {
        const std::string input = call.body["input"].dump();
        const double execution_us =
            settings_.fixed_us +
            settings_.per_byte_us * static_cast<double>(input.size());
        if (!work_.spend(call.text("call_id"), execution_us * faults.straggle))
        {
            call.reply(500, {{"error", "cancelled"}});
            return;
        }
        if (faults.drop_after)
        {
            call.drop();
            return;
        }
        send(call, faults, make_response(call, faults, input));
    }

    static std::string make_response(const received_call& call,
                                     const switches& faults,
                                     const std::string& input)
    {
        if (faults.malformed)
        {
            return "{\"request_id\": nonsense";
        }
        const std::string request_id =
            faults.wrong_request_id ? "other/request" : call.text("request_id");
        nlohmann::json output = {{"kind", call.text("kind")},
                                 {"call_id", call.text("call_id")},
                                 {"input_bytes", input.size()}};
        if (faults.oversized)
        {
            output["padding"] = std::string(oversized_bytes, 'x');
        }
        return nlohmann::json({{"request_id", request_id}, {"output", output}}).dump();
    }

    static void
    send(received_call& call, const switches& faults, const std::string& response_body)
    {
        call.response.setContentType("application/json");
        call.response.setContentLength(
            static_cast<std::streamsize>(response_body.size()));
        std::ostream& out = call.response.send();
        out << (faults.truncate ? response_body.substr(0, response_body.size() / 2)
                                : response_body);
        out.flush();
        if (faults.truncate)
        {
            call.drop();
        }
    }

    const plain_settings settings_;
    work work_;
    stage_server server_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_PLAIN_TARGET_HPP
