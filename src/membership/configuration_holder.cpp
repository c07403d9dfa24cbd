#include <medlar/detail/config/json.hpp>
#include <medlar/detail/log/membership_events.hpp>
#include <medlar/detail/membership/configuration_holder.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

configuration_holder::configuration_holder()
    : current_(std::make_shared<accepted_document>())
{
}

absl::Status configuration_holder::offer(absl::string_view text, steady_time now)
{
    absl::StatusOr<accepted_document> parsed = parse_accepted_document(text);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (parsed->number <= current_->number)
        {
            return absl::OkStatus();
        }
        current_ = std::make_shared<accepted_document>(*std::move(parsed));
        text_ = std::string(text);
        confirmed_at_ = now;
    }
    const std::lock_guard<std::mutex> lock(listeners_mutex_);
    const std::shared_ptr<const accepted_document> newest = current();
    if (newest->number <= announced_)
    {
        return absl::OkStatus();
    }
    announced_ = newest->number;
    log_event(configuration_adopted,
              {{"revision", newest->number.get()}, {"change_id", newest->change_id}});
    for (const listener& each : listeners_)
    {
        each(*newest);
    }
    return absl::OkStatus();
}

void configuration_holder::confirm(revision number, millis age, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (number == current_->number)
    {
        confirmed_at_ = std::max(confirmed_at_, now - std::max(age, millis(0)));
    }
}

std::shared_ptr<const accepted_document> configuration_holder::current() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_;
}

std::string configuration_holder::text() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return text_;
}

revision configuration_holder::number() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_->number;
}

millis configuration_holder::age(steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::max(now - confirmed_at_, millis(0));
}

void configuration_holder::add_listener(listener added)
{
    const std::lock_guard<std::mutex> lock(listeners_mutex_);
    const std::shared_ptr<const accepted_document> present = current();
    added(*present);
    announced_ = std::max(announced_, present->number);
    listeners_.push_back(std::move(added));
}

} // namespace medlar
