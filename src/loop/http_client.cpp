#include <medlar/detail/loop/http_client.hpp>
#include <medlar/detail/loop/pooled_connection.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// interval for closing expired idle connections
constexpr millis sweep_interval{1000};

void remove_from(std::vector<std::shared_ptr<pooled_connection>>& list,
                 const std::shared_ptr<pooled_connection>& which)
{
    list.erase(std::remove(list.begin(), list.end(), which), list.end());
}

} // namespace

absl::string_view to_string(call_end reason)
{
    switch (reason)
    {
        case call_end::complete:
            return "complete";
        case call_end::not_sent:
            return "not_sent";
        case call_end::no_answer:
            return "no_answer";
        case call_end::broken_off:
            return "broken_off";
        case call_end::malformed:
            return "malformed";
        case call_end::declined:
            return "declined";
    }
    return "unknown";
}

void client_call::cancel()
{
    if (connection_ == nullptr)
    {
        return;
    }
    const std::shared_ptr<pooled_connection> current = connection_->shared_from_this();
    connection_ = nullptr;
    current->cancel_call();
}

void client_call::set_paused(bool paused)
{
    if (connection_ != nullptr)
    {
        connection_->stream_->set_input_paused(paused);
    }
}

bool client_call::has_sent() const
{
    return connection_ != nullptr && connection_->has_sent_request();
}

http_client::http_client(event_loop& loop, std::size_t max_head_bytes)
    : loop_(loop), max_head_bytes_(max_head_bytes)
{
    sweep_timer_ = loop_.after(sweep_interval,
                               [this]
                               {
                                   sweep();
                               });
}

http_client::~http_client()
{
    loop_.cancel(sweep_timer_);
    for (auto& each : pools_)
    {
        for (const auto& idle : each.second.idle)
        {
            idle->close();
        }
        for (const auto& busy : each.second.busy)
        {
            busy->close();
        }
    }
}

std::shared_ptr<client_call> http_client::start(const endpoint& where,
                                                std::string request,
                                                const call_options& options,
                                                call_callbacks callbacks)
{
    auto call = std::make_shared<client_call>();
    call->callbacks_ = std::move(callbacks);
    call->options_ = options;
    pool& connections = pools_[where];
    std::shared_ptr<pooled_connection> chosen;
    // most recently used first, so that surplus connections expire
    for (auto each = connections.idle.rbegin();
         each != connections.idle.rend() && !chosen;
         ++each)
    {
        if (!options.needs_new_connection &&
            (*each)->is_usable(loop_.now(), options.max_idle))
        {
            chosen = *each;
        }
    }
    if (chosen)
    {
        remove_from(connections.idle, chosen);
    }
    else
    {
        chosen = std::make_shared<pooled_connection>(*this, where);
        chosen->open(options.connect_timeout);
        ++opened_;
    }
    connections.busy.push_back(chosen);
    chosen->send_request(call, std::move(request));
    return call;
}

void http_client::close_idle(const endpoint& where)
{
    const auto found = pools_.find(where);
    if (found == pools_.end())
    {
        return;
    }
    for (const auto& each : found->second.idle)
    {
        each->close();
    }
    found->second.idle.clear();
}

bool http_client::has_connection_from_before(const endpoint& where,
                                             steady_time when) const
{
    const auto found = pools_.find(where);
    if (found == pools_.end())
    {
        return false;
    }
    const auto is_older = [when](const std::shared_ptr<pooled_connection>& each)
    {
        return each->is_older_than(when);
    };
    const pool& connections = found->second;
    return std::any_of(connections.idle.begin(), connections.idle.end(), is_older) ||
           std::any_of(connections.busy.begin(), connections.busy.end(), is_older);
}

void http_client::release(const std::shared_ptr<pooled_connection>& which, bool reusable)
{
    pool& connections = pools_[which->where()];
    remove_from(connections.busy, which);
    remove_from(connections.idle, which);
    if (reusable)
    {
        connections.idle.push_back(which);
    }
    else
    {
        which->close();
    }
}

void http_client::handle_loss(const pooled_connection& which, connection_loss how)
{
    const pool& connections = pools_[which.where()];
    const auto is_other = [&which](const std::shared_ptr<pooled_connection>& each)
    {
        return each.get() != &which && each->is_established();
    };
    const bool lives =
        std::any_of(connections.idle.begin(), connections.idle.end(), is_other) ||
        std::any_of(connections.busy.begin(), connections.busy.end(), is_other);
    if (!lives && on_lost_)
    {
        on_lost_(which.where(), how);
    }
}

void http_client::sweep()
{
    for (auto each = pools_.begin(); each != pools_.end();)
    {
        std::vector<std::shared_ptr<pooled_connection>>& idle = each->second.idle;
        for (const auto& idle_connection : idle)
        {
            if (!idle_connection->is_usable(loop_.now(), millis(INT64_MAX)))
            {
                idle_connection->close();
            }
        }
        idle.erase(std::remove_if(
                       idle.begin(),
                       idle.end(),
                       [this](const std::shared_ptr<pooled_connection>& idle_connection)
                       {
                           return !idle_connection->is_usable(loop_.now(),
                                                              millis(INT64_MAX));
                       }),
                   idle.end());
        const bool empty = idle.empty() && each->second.busy.empty();
        each = empty ? pools_.erase(each) : std::next(each);
    }
    sweep_timer_ = loop_.after(sweep_interval,
                               [this]
                               {
                                   sweep();
                               });
}

} // namespace medlar
