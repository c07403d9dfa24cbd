#include <medlar/detail/loop/http_client.hpp>
#include <medlar/detail/loop/pooled_connection.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// interval for closing expired idle connections
constexpr millis sweep_interval{1000};

// a server that is at its limit of connections resets a witness each time
constexpr millis witness_interval{1000};

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
        if (each.second.witness)
        {
            each.second.witness->close();
        }
    }
}

std::shared_ptr<client_call> http_client::start(const endpoint& where,
                                                std::string request,
                                                const call_options& options,
                                                call_callbacks callbacks,
                                                std::shared_ptr<const std::string> body)
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
    else if (options.may_use_witness && !options.needs_new_connection &&
             connections.witness && connections.witness->is_standing() &&
             !is_witness_busy(where))
    {
        chosen = connections.witness;
    }
    else
    {
        chosen = std::make_shared<pooled_connection>(*this, where);
        chosen->open(options.connect_timeout);
        ++opened_;
    }
    connections.busy.push_back(chosen);
    chosen->send_request(call, std::move(request), std::move(body));
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

void http_client::keep_witness(const endpoint& where)
{
    const auto found = pools_.find(where);
    if (found == pools_.end())
    {
        return;
    }
    pool& connections = found->second;
    const bool is_needed = std::any_of(connections.busy.begin(),
                                       connections.busy.end(),
                                       [](const std::shared_ptr<pooled_connection>& each)
                                       {
                                           return each->receives_unframed_answer();
                                       });
    if (!is_needed || connections.witness)
    {
        return;
    }
    const auto idle = std::find_if(connections.idle.rbegin(),
                                   connections.idle.rend(),
                                   [](const std::shared_ptr<pooled_connection>& each)
                                   {
                                       return each->is_standing();
                                   });
    if (idle != connections.idle.rend())
    {
        connections.witness = *idle;
        remove_from(connections.idle, connections.witness);
        return;
    }
    if (connections.witness_opened_at &&
        loop_.now() - *connections.witness_opened_at < witness_interval)
    {
        return;
    }
    connections.witness_opened_at = loop_.now();
    connections.witness = std::make_shared<pooled_connection>(*this, where);
    connections.witness->open(call_options().connect_timeout);
    ++opened_;
}

bool http_client::is_witness_busy(const endpoint& where) const
{
    const auto found = pools_.find(where);
    if (found == pools_.end() || !found->second.witness)
    {
        return false;
    }
    const std::vector<std::shared_ptr<pooled_connection>>& busy = found->second.busy;
    return std::find(busy.begin(), busy.end(), found->second.witness) != busy.end();
}

void http_client::record_open(const endpoint& where)
{
    for (const auto& each : pools_[where].busy)
    {
        each->record_open();
    }
}

bool http_client::is_witness_newer(const endpoint& where, steady_time when) const
{
    const auto found = pools_.find(where);
    return found != pools_.end() && found->second.witness &&
           found->second.witness->is_established_after(when);
}

bool http_client::has_connection_since(const endpoint& where, steady_time when) const
{
    const auto found = pools_.find(where);
    if (found == pools_.end())
    {
        return false;
    }
    const auto is_since = [when](const std::shared_ptr<pooled_connection>& each)
    {
        return each->is_open_since(when);
    };
    const pool& connections = found->second;
    return (connections.witness && is_since(connections.witness)) ||
           std::any_of(connections.idle.begin(), connections.idle.end(), is_since) ||
           std::any_of(connections.busy.begin(), connections.busy.end(), is_since);
}

void http_client::release(const std::shared_ptr<pooled_connection>& which, bool reusable)
{
    pool& connections = pools_[which->where()];
    remove_from(connections.busy, which);
    remove_from(connections.idle, which);
    if (reusable && connections.witness != which)
    {
        connections.idle.push_back(which);
    }
    else if (!reusable)
    {
        if (connections.witness == which)
        {
            connections.witness = nullptr;
        }
        which->close();
    }
}

bool http_client::has_other_connection(const pooled_connection& which) const
{
    const auto found = pools_.find(which.where());
    if (found == pools_.end())
    {
        return false;
    }
    const auto is_other = [&which](const std::shared_ptr<pooled_connection>& each)
    {
        return each && each.get() != &which && each->is_established();
    };
    const pool& connections = found->second;
    return is_other(connections.witness) ||
           std::any_of(connections.idle.begin(), connections.idle.end(), is_other) ||
           std::any_of(connections.busy.begin(), connections.busy.end(), is_other);
}

void http_client::handle_loss(const pooled_connection& which, connection_loss how)
{
    if (on_lost_ && !has_other_connection(which))
    {
        on_lost_(which.where(), how);
    }
}

void http_client::sweep()
{
    for (auto each = pools_.begin(); each != pools_.end();)
    {
        std::vector<std::shared_ptr<pooled_connection>>& idle = each->second.idle;
        // asked once for each connection, since its server may end it at any moment
        const auto first_unusable = std::stable_partition(
            idle.begin(),
            idle.end(),
            [this](const std::shared_ptr<pooled_connection>& idle_connection)
            {
                return idle_connection->is_usable(loop_.now(), millis(INT64_MAX));
            });
        std::for_each(first_unusable,
                      idle.end(),
                      [](const std::shared_ptr<pooled_connection>& idle_connection)
                      {
                          idle_connection->close();
                      });
        idle.erase(first_unusable, idle.end());
        if (each->second.witness && each->second.busy.empty())
        {
            each->second.witness->close();
            each->second.witness = nullptr;
        }
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
