#include <medlar/detail/gateway/cancel_token.hpp>

#include <chrono>
#include <utility>

namespace medlar
{

std::shared_ptr<cancel_token> cancel_token::create()
{
    return std::shared_ptr<cancel_token>(new cancel_token());
}

void cancel_token::cancel(cancel_cause why)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (cause_ != cancel_cause::none)
    {
        return;
    }
    cause_ = why;
    for (const auto& [registration, action] : actions_)
    {
        action(why);
    }
    changed_.notify_all();
}

cancel_cause cancel_token::cause() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return cause_;
}

bool cancel_token::wait_for(millis timeout) const
{
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock,
                             std::chrono::milliseconds(timeout.count()),
                             [this]
                             {
                                 return cause_ != cancel_cause::none;
                             });
}

std::uint64_t cancel_token::on_cancel(std::function<void(cancel_cause)> action)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (cause_ != cancel_cause::none)
    {
        action(cause_);
    }
    ++last_registration_;
    actions_.emplace(last_registration_, std::move(action));
    return last_registration_;
}

void cancel_token::remove(std::uint64_t registration)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    actions_.erase(registration);
}

cancel_action::cancel_action(std::shared_ptr<cancel_token> token,
                             std::function<void(cancel_cause)> action)
    : token_(std::move(token)), registration_(token_->on_cancel(std::move(action)))
{
}

cancel_action::~cancel_action()
{
    token_->remove(registration_);
}

} // namespace medlar
