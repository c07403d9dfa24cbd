#include <medlar/detail/hosts/connection_probe.hpp>
#include <medlar/detail/loop/event_loop.hpp>

#include <utility>

namespace medlar
{

namespace
{

// the latency between hosts and targets is a few ms; a SYN that is lost is sent again
// after a second
constexpr millis connect_timeout{400};

} // namespace

connection_probe::connection_probe(event_loop& loop,
                                   const endpoint& where,
                                   millis delay,
                                   std::function<void(probe_result)> on_result)
    : loop_(loop), on_result_(std::move(on_result))
{
    timer_ = loop_.after(delay,
                         [this, where]
                         {
                             stream_ = connection::connect(loop_, where, connect_timeout);
                             stream_->set_handler(this);
                         });
}

connection_probe::~connection_probe()
{
    loop_.cancel(timer_);
    if (stream_)
    {
        stream_->set_handler(nullptr);
        stream_->close();
    }
}

void connection_probe::on_connected()
{
    finish(probe_result::connected);
}

void connection_probe::on_input()
{
}

void connection_probe::on_end(connection_end reason)
{
    finish(reason == connection_end::refused ? probe_result::refused
                                             : probe_result::unreachable);
}

void connection_probe::finish(probe_result result)
{
    stream_->set_handler(nullptr);
    // deferred: the receiver may destroy this probe
    timer_ = loop_.after(millis(0),
                         [on_result = std::move(on_result_), result]
                         {
                             on_result(result);
                         });
}

} // namespace medlar
