#ifndef MEDLAR_DETAIL_DISPATCH_REPEAT_BUDGET_HPP
#define MEDLAR_DETAIL_DISPATCH_REPEAT_BUDGET_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstdint>
#include <deque>

namespace medlar
{

/// @brief bounds of repeats at one pool, for all hosts together
struct repeat_rule
{
    /// repeats for each first call
    double ratio = 0.2;
    /// repeats beyond that in one window
    double slack = 0;
    millis window{10000};
};

/// @brief Counts first calls and repeats of one host at one pool, and keeps the repeats
/// under this host's part of the bound.
///
/// Load: failures at many targets at once, where each host would repeat all it sends. No
/// message is needed: each host spends what its own first calls earn, and an equal part
/// of the slack.
class repeat_budget
{
  public:
    explicit repeat_budget(const repeat_rule& rule) : rule_(rule)
    {
    }

    /// @brief Notes a first call.
    void note_first(steady_time now);

    /// @brief whether one more repeat stays within this host's part
    /// @param hosts entry hosts that share the slack, at least 1
    bool may_repeat(steady_time now, std::size_t hosts);

    /// @brief Notes a repeat.
    void note_repeat(steady_time now);

  private:
    struct bucket
    {
        std::int64_t number = 0;
        std::int64_t first = 0;
        std::int64_t repeats = 0;
    };

    bucket& current(steady_time now);

    repeat_rule rule_;
    std::deque<bucket> buckets_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REPEAT_BUDGET_HPP
