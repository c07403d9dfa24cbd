#ifndef MEDLAR_TEST_SOAK_ENDING_CALLERS_HPP
#define MEDLAR_TEST_SOAK_ENDING_CALLERS_HPP

#include "soak/ending_table.hpp"
#include "soak/ending_targets.hpp"

#include <medlar/detail/loop/http_client.hpp>

#include <memory>
#include <string>
#include <vector>

namespace medlar::soak
{

/// @brief Callers that read streams of numbered events, and take them up at another host
/// when they break off.
class ending_callers
{
  public:
    /// @param hosts addresses for callers; the last one has no path to the targets
    ending_callers(event_loop& loop,
                   ending_targets& targets,
                   std::vector<endpoint> hosts,
                   std::uint64_t seed);

    void start(std::size_t count);

    void stop()
    {
        is_active_ = false;
    }

    std::size_t open_streams() const
    {
        return open_;
    }

    /// @brief Checks all streams.
    /// @param is_strict whether no other fault is on, so that no sound stream may break
    /// @return the broken promises
    std::vector<std::string> check(bool is_strict);

    /// @brief what became of the streams; filled by check()
    const ending_table& table() const
    {
        return table_;
    }

  private:
    /// one request of a stream
    struct stream_try
    {
        std::string attempt;
        std::size_t host = 0;
        int status = 0;
        std::string body;
        bool is_done = false;
        bool is_complete = false;
        steady_time ended_at;
        std::shared_ptr<client_call> call;
    };

    struct caller_stream
    {
        explicit caller_stream(numbered_stream of) : seen(std::move(of))
        {
        }

        numbered_stream seen;
        bool may_resume = false;
        bool takes_up = false;
        /// attempt that brought the first event
        std::string began_with;
        bool was_taken_up = false;
        bool went_on = false;
        std::vector<std::shared_ptr<stream_try>> tries;
    };

    using stream_ptr = std::shared_ptr<caller_stream>;

    void begin_stream();
    void send(const stream_ptr& stream, std::size_t host);
    std::string request_of(const caller_stream& stream, const std::string& attempt) const;
    void end_try(const stream_ptr& stream, const std::shared_ptr<stream_try>& ended);
    void end_stream(const stream_ptr& stream);

    std::string class_of(const caller_stream& stream);
    bool was_cut(const std::string& name);
    ending_counts check_stream(const caller_stream& stream, bool is_strict);
    void check_end(const caller_stream& stream, bool is_strict, ending_counts& counts);
    void report(const caller_stream& stream, const std::string& what);

    event_loop& loop_;
    http_client client_{loop_, 65536};
    ending_targets& targets_;
    std::vector<endpoint> hosts_;
    std::uint64_t seed_;
    random_source random_;
    std::vector<stream_ptr> streams_;
    std::size_t open_ = 0;
    bool is_active_ = false;
    ending_table table_;
    int joined_ = 0;
    std::vector<std::string> violations_;
    steady_time started_at_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_ENDING_CALLERS_HPP
