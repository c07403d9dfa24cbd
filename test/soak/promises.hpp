#ifndef MEDLAR_TEST_SOAK_PROMISES_HPP
#define MEDLAR_TEST_SOAK_PROMISES_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlar::soak
{

/// @brief kind of a request, which decides how often it may run and how it is answered
enum class request_kind
{
    idempotent,
    once, ///< must run at most once
    stream,
    staged ///< a stream whose route has a stage before it
};

/// @brief a request and its outcome as the caller observed it
struct request_record
{
    request_kind kind = request_kind::idempotent;
    std::string attempt;
    std::string host;
    int status = 0;
    std::string attempt_in_answer;
    bool has_signature = false;
    std::string body;
    /// whether the answer was received up to its regular end
    bool is_complete = false;
    std::int64_t duration_ms = 0;
    /// whether a fault affected its host or one of its paths while it was open
    bool was_disturbed = false;
};

/// @brief Records all requests of a run as callers and targets observe them, and checks
/// the guarantees that medlar-entry gives for them.
class promises
{
  public:
    /// @brief Records that a target started to run a request.
    void record_execution(const std::string& attempt)
    {
        ++executions_[attempt];
    }

    /// @brief Records the outcome of a request and checks its answer.
    void record_outcome(request_record record);

    /// @brief Records a broken promise.
    void record_violation(const std::string& what)
    {
        violations_.push_back(what);
    }

    /// @brief Checks the guarantees that can only be checked at the end of a run.
    /// @param max_duration_ms limit for a request that no fault affected; 0: no limit
    void check(std::int64_t max_duration_ms);

    const std::vector<std::string>& violations() const
    {
        return violations_;
    }

    std::size_t requests() const
    {
        return records_.size();
    }

    std::size_t answered() const;

    /// @brief the body of a target's answer to a request that is not streamed
    static std::string expected_body(const std::string& attempt);
    static constexpr int stream_events = 5;
    static std::string expected_event(const std::string& attempt, int number);

  private:
    void check_answer(const request_record& record);
    void check_stream(const request_record& record);
    void check_runs(const request_record& record);

    std::map<std::string, int> executions_;
    std::vector<request_record> records_;
    std::vector<std::string> violations_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_PROMISES_HPP
