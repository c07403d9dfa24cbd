#include <medlar/detail/dispatch/attempt_limit.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// with so many sends another host can retry once where a target refuses, which happens
// more often than that a host breaks off
constexpr int min_useful_loan = 2;

} // namespace

attempt_limit::attempt_limit(int max_sends) : max_sends_(max_sends)
{
}

attempt_limit attempt_limit::create(int max_sends)
{
    return attempt_limit(std::max(1, max_sends));
}

void attempt_limit::record_send()
{
    ++sends_;
}

void attempt_limit::record_unsent()
{
    --sends_;
}

int attempt_limit::lend(bool may_repeat)
{
    const int left = max_sends_ - sends_ - sends_elsewhere_;
    lent_ = may_repeat && left > min_useful_loan ? left - 1 : left;
    sends_elsewhere_ += lent_;
    return lent_;
}

void attempt_limit::return_lent()
{
    sends_elsewhere_ -= lent_;
    lent_ = 0;
}

} // namespace medlar
