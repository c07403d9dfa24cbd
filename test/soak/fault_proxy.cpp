#include "soak/fault_proxy.hpp"

#include <stdexcept>

namespace medlar::soak
{

namespace
{

// more than a call of a target takes, less than a caller waits
constexpr millis delay{120};

constexpr millis connect_timeout{500};

} // namespace

void fault_proxy::side::on_input()
{
    of_.proxy.pass(of_, is_caller_);
}

void fault_proxy::side::on_end(connection_end /*how*/)
{
    of_.proxy.end(of_, is_caller_);
}

fault_proxy::fault_proxy(event_loop& loop, const endpoint& at, const endpoint& to)
    : loop_(loop), where_(at), to_(to)
{
    auto opened = listener::open(
        loop,
        at,
        [this](std::shared_ptr<connection> caller)
        {
            accept(std::move(caller));
        },
        [](const std::string&) {});
    if (!opened.ok())
    {
        throw std::runtime_error(opened.status().ToString());
    }
    listener_ = *std::move(opened);
}

fault_proxy::~fault_proxy()
{
    *alive_ = false;
    listener_->close();
    for (const std::shared_ptr<passage>& each : passages_)
    {
        each->caller->set_handler(nullptr);
        each->target->set_handler(nullptr);
        each->caller->close();
        each->target->close();
    }
}

void fault_proxy::accept(std::shared_ptr<connection> caller)
{
    if (fault_ == path_fault::resetting)
    {
        caller->close();
        return;
    }
    const auto made = std::make_shared<passage>(*this);
    made->caller = std::move(caller);
    made->target = connection::connect(loop_, to_, connect_timeout);
    made->caller->set_handler(&made->caller_side);
    made->target->set_handler(&made->target_side);
    passages_.insert(made);
}

void fault_proxy::set_fault(path_fault fault)
{
    fault_ = fault;
    // what a silent path lost does not come back: connections of before are useless
    if (fault != path_fault::resetting && fault != path_fault::none)
    {
        return;
    }
    const auto open = passages_;
    for (const std::shared_ptr<passage>& each : open)
    {
        each->caller->close();
        end(*each, true);
    }
}

void fault_proxy::pass(passage& on, bool from_caller)
{
    const std::shared_ptr<connection> from = from_caller ? on.caller : on.target;
    const std::shared_ptr<connection> to = from_caller ? on.target : on.caller;
    const std::string bytes(from->input());
    from->consume(bytes.size());
    const bool is_lost = fault_ == path_fault::silent ||
                         (fault_ == path_fault::requests_lost && from_caller) ||
                         (fault_ == path_fault::answers_lost && !from_caller);
    if (is_lost)
    {
        return;
    }
    if (fault_ != path_fault::delayed)
    {
        to->send(bytes);
        return;
    }
    loop_.after(delay,
                [alive = alive_, to, bytes]
                {
                    if (*alive && to->is_open())
                    {
                        to->send(bytes);
                    }
                });
}

void fault_proxy::end(passage& which, bool from_caller)
{
    if (which.is_over)
    {
        return;
    }
    which.is_over = true;
    const std::shared_ptr<passage> self = which.shared_from_this();
    self->caller->set_handler(nullptr);
    self->target->set_handler(nullptr);
    const std::shared_ptr<connection>& other = from_caller ? self->target : self->caller;
    if (fault_ == path_fault::none || fault_ == path_fault::delayed)
    {
        other->close_after_output();
    }
    else
    {
        other->close();
    }
    passages_.erase(self);
    // the event that ended it may still be on the stack
    loop_.after(millis(0), [self] {});
}

} // namespace medlar::soak
