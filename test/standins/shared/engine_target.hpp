#ifndef MEDLAR_TEST_STANDINS_ENGINE_TARGET_HPP
#define MEDLAR_TEST_STANDINS_ENGINE_TARGET_HPP

#include "standins/shared/engine_orders.hpp"
#include "standins/shared/prefix_cache.hpp"
#include "standins/shared/stage_server.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace standins
{

/// @brief Slots, simulated execution times and features of an engine.
struct engine_settings
{
    medlar::endpoint listen{"127.0.0.1", 0};
    int slots = 8;
    double token_us = 2000;
    double prompt_token_us = 20;
    /// fraction of token_us added for each further call in the batch
    double batch_slowdown = 0.05;
    int default_tokens = 32;
    std::int64_t cache_tokens = 20000;
    medlar::millis report_lag{500};
    medlar::millis event_delay{500};
    int event_gap_every = 7;
    bool checks_fencing = true;
    medlar::millis load_time{200};
    std::string model = "m";
};

/// @brief Returns the text of a token, derived from the request id so that tests can
/// check which request it belongs to.
inline std::string token_text(const std::string& request_id, std::int64_t index)
{
    const std::uint64_t hash = XXH64(request_id.data(), request_id.size(), index);
    return "t" + std::to_string(hash % 100000) + " ";
}

/// @brief Stand-in for a model engine with continuous batching, a prefix cache, streamed
/// responses and orders.
class engine_target
{
  public:
    explicit engine_target(const engine_settings& settings)
        : settings_(settings),
          work_(settings.slots, settings.report_lag),
          cache_(settings.cache_tokens, settings.event_delay, settings.event_gap_every),
          orders_(settings.checks_fencing, settings.load_time, settings.model),
          server_(
              settings.listen,
              work_,
              [this](received_call& call, const switches& faults)
              {
                  run(call, faults);
              },
              [this](received_call& call)
              {
                  return serve_engine_path(call);
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
    static constexpr std::size_t bytes_per_token = 4;
    static constexpr std::size_t oversized_bytes = 64UL * 1024 * 1024;

    bool serve_engine_path(received_call& call)
    {
        const std::string events = "/v1/cache_events?after=";
        if (call.path.rfind(events, 0) == 0)
        {
            const std::uint64_t after =
                std::stoull("0" + call.path.substr(events.size()));
            call.reply(200, {{"events", cache_.events_after(after)}});
            return true;
        }
        return orders_.serve(call);
    }

    void run(received_call& call, const switches& faults)
    {
        const std::string prefix = call.text("prompt_prefix");
        const std::int64_t prompt_tokens =
            static_cast<std::int64_t>((prefix.size() + call.body["input"].dump().size()) /
                                      bytes_per_token) +
            1;
        const std::int64_t cached =
            std::min(prompt_tokens, cache_.use(prefix, prefix.size() / bytes_per_token));
        const double prefill =
            settings_.prompt_token_us * static_cast<double>(prompt_tokens - cached);
        if (!work_.spend(call.text("call_id"), prefill * faults.straggle))
        {
            call.reply(500, {{"error", "cancelled"}});
            return;
        }
        stream_tokens(call, faults, prompt_tokens, cached);
    }

    void stream_tokens(received_call& call,
                       const switches& faults,
                       std::int64_t prompt_tokens,
                       std::int64_t cached)
    {
        const std::string request_id =
            faults.wrong_request_id ? "other/request" : call.text("request_id");
        const std::int64_t max_tokens = call.number("max_tokens");
        const std::int64_t tokens =
            max_tokens > 0 ? max_tokens : settings_.default_tokens;
        call.response.setChunkedTransferEncoding(true);
        call.response.setContentType("application/jsonl");
        std::ostream& out = call.response.send();
        for (std::int64_t i = call.number("resume_from"); i < tokens; ++i)
        {
            if (!spend_token(call, faults) || !out.good())
            {
                call.drop();
                return;
            }
            if ((faults.truncate || faults.drop_after) && i >= tokens / 2)
            {
                call.drop();
                return;
            }
            send_token(out, call, faults, request_id, i);
        }
        if (faults.drop_after)
        {
            call.drop();
            return;
        }
        out << nlohmann::json({{"request_id", request_id},
                               {"done", true},
                               {"tokens", tokens},
                               {"prompt_tokens", prompt_tokens},
                               {"cached_tokens", cached}})
            << "\n";
        out.flush();
    }

    bool spend_token(const received_call& call, const switches& faults)
    {
        const double batch_factor = 1 + settings_.batch_slowdown * (work_.running() - 1);
        return work_.spend(call.text("call_id"),
                           settings_.token_us * batch_factor * faults.straggle);
    }

    static void send_token(std::ostream& out,
                           const received_call& call,
                           const switches& faults,
                           const std::string& request_id,
                           std::int64_t index)
    {
        if (faults.malformed)
        {
            out << "{\"request_id\": nonsense\n";
        }
        std::string text = token_text(call.text("request_id"), index);
        if (faults.oversized)
        {
            text += std::string(oversized_bytes, 'x');
        }
        out << nlohmann::json(
                   {{"request_id", request_id}, {"index", index}, {"text", text}})
            << "\n";
        out.flush();
    }

    const engine_settings settings_;
    work work_;
    prefix_cache cache_;
    engine_orders orders_;
    stage_server server_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_ENGINE_TARGET_HPP
