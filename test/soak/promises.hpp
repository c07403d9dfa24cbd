#ifndef MEDLAR_TEST_SOAK_PROMISES_HPP
#define MEDLAR_TEST_SOAK_PROMISES_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlar::soak
{

/// @brief how a request may be treated
enum class request_kind
{
    idempotent,
    once,
    stream,
    staged ///< a stream with stages before it
};

/// @brief what a caller got for one request
struct caller_view
{
    request_kind kind = request_kind::idempotent;
    std::string attempt;
    std::string host;
    int status = 0;
    std::string attempt_in_answer;
    bool has_signature = false;
    std::string body;
    /// whether the answer came to an end of its own
    bool is_complete = false;
    std::int64_t took_ms = 0;
    /// whether its host or a path of it was disturbed meanwhile
    bool was_disturbed = false;
};

/// @brief The book of all requests of a run, as callers and targets see them, and the
/// promises that it must keep.
class promises
{
  public:
    /// @brief A target began to run a request.
    void ran(const std::string& attempt)
    {
        ++runs_[attempt];
    }

    /// @brief A caller's request is over.
    void ended(caller_view view);

    /// @brief Notes a promise that was broken apart from any request.
    void broken(const std::string& what)
    {
        broken_.push_back(what);
    }

    /// @brief Checks what can only be said at the end of a run.
    /// @param longest_ms longest time that an undisturbed request may take; 0: any
    void check(std::int64_t longest_ms);

    const std::vector<std::string>& all_broken() const
    {
        return broken_;
    }

    std::size_t requests() const
    {
        return views_.size();
    }

    std::size_t answered() const;

    /// @brief the body that a target gives to a request that is no stream
    static std::string body_of(const std::string& attempt);
    static constexpr int stream_events = 5;
    static std::string event_of(const std::string& attempt, int number);

  private:
    void check_answer(const caller_view& view);
    void check_stream(const caller_view& view);
    void check_runs(const caller_view& view);

    std::map<std::string, int> runs_;
    std::vector<caller_view> views_;
    std::vector<std::string> broken_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_PROMISES_HPP
