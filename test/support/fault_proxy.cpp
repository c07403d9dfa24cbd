#include "support/fault_proxy.hpp"

#include <medlar/detail/loop/listening_socket.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace medlar::test
{

namespace
{

// longer than a target takes to answer, shorter than the callers' timeout
constexpr millis delay{120};

constexpr millis connect_timeout{500};

constexpr int backlog = 64;

} // namespace

void fault_proxy::side::on_input()
{
    owner_.proxy.forward(owner_, is_caller_);
}

void fault_proxy::side::on_end(connection_end /*how*/)
{
    owner_.proxy.close_both(owner_, is_caller_);
}

fault_proxy::fault_proxy(event_loop& loop, const endpoint& at, const endpoint& to)
    : loop_(loop), where_(at), port_(at), upstream_(to)
{
    listen();
}

void fault_proxy::acceptor::on_ready(readiness /*ready*/)
{
    if (owner_ != nullptr)
    {
        owner_->accept_next();
    }
}

void fault_proxy::listen()
{
    port_.share_with(
        [this]
        {
            listening_ = open_listening_socket(where_, backlog);
        });
    listening_.setBlocking(false);
    acceptor_ = std::make_shared<acceptor>(*this);
    loop_.watch(listening_, acceptor_, true, false);
}

void fault_proxy::accept_next()
{
    try
    {
        Poco::Net::SocketAddress from;
        const Poco::Net::StreamSocket socket = listening_.acceptConnection(from);
        const auto caller = connection::from_accepted(loop_, socket);
        if (caller->is_open())
        {
            accept(caller, from.port());
        }
    }
    catch (const Poco::Exception&)
    {
        // the caller has closed the connection already
    }
}

void fault_proxy::stop()
{
    close_listener();
    const auto open = connections_;
    for (const std::shared_ptr<proxied_connection>& each : open)
    {
        each->caller->close();
        close_both(*each, true);
    }
}

void fault_proxy::stop_by_reset()
{
    for (const std::shared_ptr<proxied_connection>& each : connections_)
    {
        each->caller->reset();
    }
    stop();
}

void fault_proxy::refuse_new()
{
    close_listener();
}

void fault_proxy::close_listener()
{
    if (acceptor_)
    {
        acceptor_->close();
        acceptor_.reset();
        loop_.unwatch(listening_);
        listening_.close();
    }
}

void fault_proxy::hang()
{
    refuse_new();
    fault_ = path_fault::silent;
    port_.share_with(
        [this]
        {
            full_ = open_listening_socket(where_, 1);
        });
    // the kernel drops further attempts to connect once the queue is full
    constexpr int queue_size = 2;
    for (int i = 0; i < queue_size; ++i)
    {
        queued_.emplace_back();
        queued_.back().connectNB(Poco::Net::SocketAddress(where_.address, where_.port));
    }
}

void fault_proxy::resume()
{
    if (!queued_.empty())
    {
        queued_.clear();
        full_.close();
        set_fault(path_fault::none);
    }
    listen();
}

fault_proxy::~fault_proxy()
{
    *alive_ = false;
    close_listener();
    for (const std::shared_ptr<proxied_connection>& each : connections_)
    {
        each->caller->set_handler(nullptr);
        each->target->set_handler(nullptr);
        each->caller->close();
        each->target->close();
    }
}

void fault_proxy::accept(std::shared_ptr<connection> caller, std::uint16_t caller_port)
{
    if (fault_ == path_fault::resetting)
    {
        caller->close();
        return;
    }
    const auto opened_pair = std::make_shared<proxied_connection>(*this);
    opened_pair->caller = std::move(caller);
    opened_pair->caller_port = caller_port;
    opened_pair->target = connection::connect(loop_, upstream_, connect_timeout);
    opened_pair->caller->set_handler(&opened_pair->caller_side);
    opened_pair->target->set_handler(&opened_pair->target_side);
    connections_.insert(opened_pair);
}

void fault_proxy::set_fault(path_fault fault)
{
    fault_ = fault;
    // dropped bytes are not resent, so connections from before are closed when a fault
    // ends
    if (fault != path_fault::resetting && fault != path_fault::none)
    {
        return;
    }
    const auto open = connections_;
    for (const std::shared_ptr<proxied_connection>& each : open)
    {
        each->caller->close();
        close_both(*each, true);
    }
}

void fault_proxy::forward(proxied_connection& pair, bool from_caller)
{
    const std::shared_ptr<connection> from = from_caller ? pair.caller : pair.target;
    const std::shared_ptr<connection> to = from_caller ? pair.target : pair.caller;
    const std::string bytes(from->input());
    from->consume(bytes.size());
    const bool is_lost = fault_ == path_fault::silent ||
                         (fault_ == path_fault::requests_lost && from_caller) ||
                         (fault_ == path_fault::answers_lost && !from_caller);
    if (is_lost)
    {
        return;
    }
    if (from_caller && on_forward)
    {
        on_forward(pair.caller_port, bytes);
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

void fault_proxy::close_both(proxied_connection& pair, bool from_caller)
{
    if (pair.is_closed)
    {
        return;
    }
    pair.is_closed = true;
    const std::shared_ptr<proxied_connection> self = pair.shared_from_this();
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
    connections_.erase(self);
    // the callback that led here may still be on the stack and use the object
    loop_.after(millis(0), [self] {});
}

} // namespace medlar::test
