#include <medlar/detail/gateway/local_exchange.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::size_t max_withdrawn = 1024;

answer_now refused(outcome_kind kind, reason why, std::string message)
{
    return {final_answer{{kind, why, std::move(message), std::nullopt}, "", ""}};
}

} // namespace

std::unique_ptr<local_exchange> local_exchange::create(
    const view_member& self, const accepted_document& configuration, claim_table& claims)
{
    return std::unique_ptr<local_exchange>(
        new local_exchange(self, configuration, claims));
}

local_exchange::local_exchange(const view_member& self,
                               const accepted_document& configuration,
                               claim_table& claims)
    : self_(self),
      configuration_(std::make_shared<accepted_document>(configuration)),
      claims_(claims)
{
}

placement local_exchange::place(const owned_request& request)
{
    claims_.expire(time_.wall_now());
    if (!claims_.has_capacity())
    {
        const std::optional<claim> existing_claim = claims_.find(request.key);
        if (!existing_claim)
        {
            return refused(outcome_kind::unknown,
                           reason::claims_full,
                           "this host holds as many claims as it may");
        }
    }
    const claim new_claim{
        request.key, request.digest, request.issued_at, self_.process, std::nullopt};
    const claim_lookup opened = claims_.open(new_claim);
    switch (opened.state)
    {
        case claim_state::opened:
            return run_here{};
        case claim_state::running:
            return join_here{};
        case claim_state::finished:
            return answer_now{*opened.found.answer};
        case claim_state::mismatched:
            break;
    }
    return refused(
        outcome_kind::not_run, reason::id_reused, "the id was used for another request");
}

void local_exchange::finish(const request_key& key, const final_answer& answer)
{
    claims_.finish(key, answer);
    const std::lock_guard<std::mutex> lock(mutex_);
    changed_.notify_all();
}

void local_exchange::withdraw(const request_key& key, const outcome& refusal)
{
    claims_.withdraw(key);
    const std::lock_guard<std::mutex> lock(mutex_);
    withdrawn_.push_back({key, refusal});
    if (withdrawn_.size() > max_withdrawn)
    {
        withdrawn_.erase(withdrawn_.begin());
    }
    changed_.notify_all();
}

std::optional<final_answer> local_exchange::wait_for_answer(const request_key& key,
                                                            steady_time until)
{
    constexpr std::chrono::milliseconds check_interval(50);
    std::unique_lock<std::mutex> lock(mutex_);
    while (true)
    {
        std::optional<final_answer> found = answer_of(key);
        if (found || time_.steady_now() >= until)
        {
            return found;
        }
        changed_.wait_for(lock, check_interval);
    }
}

std::optional<final_answer> local_exchange::answer_of(const request_key& key) const
{
    const std::optional<claim> existing_claim = claims_.find(key);
    if (existing_claim)
    {
        return existing_claim->answer;
    }
    const auto found = std::find_if(withdrawn_.rbegin(),
                                    withdrawn_.rend(),
                                    [&key](const withdrawal& each)
                                    {
                                        return each.key == key;
                                    });
    if (found == withdrawn_.rend())
    {
        return std::nullopt;
    }
    return final_answer{found->refusal, "", ""};
}

std::shared_ptr<const accepted_document> local_exchange::configuration() const
{
    return configuration_;
}

void local_exchange::on_configuration(
    std::function<void(const accepted_document&)> listener)
{
    listener(*configuration_);
}

void local_exchange::on_leaving(
    std::function<void(const std::vector<target_id>&)> listener)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    listener(leaving_);
    listeners_.push_back(std::move(listener));
}

void local_exchange::report_leaving_target(const target_id& target)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::find(leaving_.begin(), leaving_.end(), target) != leaving_.end())
    {
        return;
    }
    leaving_.push_back(target);
    for (const auto& listener : listeners_)
    {
        listener(leaving_);
    }
}

std::optional<int> local_exchange::handle(const link_request& /*request*/,
                                          link_responder& /*responder*/)
{
    return std::nullopt;
}

std::vector<view_member> local_exchange::peers() const
{
    return {};
}

exchange_status local_exchange::status() const
{
    exchange_status result;
    result.host = self_.host;
    result.process = self_.process;
    result.configuration = configuration_->number;
    result.claims = claims_.size();
    return result;
}

bool local_exchange::leave(steady_time /*until*/)
{
    return true;
}

void local_exchange::stop()
{
    // there are no leases to stop renewing
}

} // namespace medlar
