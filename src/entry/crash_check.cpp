#include <medlar/detail/entry/crash_check.hpp>
#include <medlar/detail/loop/event_loop.hpp>

#include <utility>

namespace medlar
{

namespace
{

// the other calls to the target end within this time, and its listener closes
constexpr millis settle_time{10};

constexpr millis connect_timeout{400};

} // namespace

crash_check::crash_check(event_loop& loop,
                         const endpoint& where,
                         std::function<void(bool)> on_result)
    : loop_(loop), on_result_(std::move(on_result))
{
    timer_ = loop_.after(settle_time,
                         [this, where]
                         {
                             stream_ = connection::connect(loop_, where, connect_timeout);
                             stream_->set_handler(this);
                         });
}

crash_check::~crash_check()
{
    loop_.cancel(timer_);
    if (stream_)
    {
        stream_->set_handler(nullptr);
        stream_->close();
    }
}

void crash_check::on_connected()
{
    finish(false);
}

void crash_check::on_input()
{
}

void crash_check::on_end(connection_end reason)
{
    finish(reason == connection_end::refused);
}

void crash_check::finish(bool has_crashed)
{
    stream_->set_handler(nullptr);
    // deferred: the receiver destroys this check
    timer_ = loop_.after(millis(0),
                         [on_result = std::move(on_result_), has_crashed]
                         {
                             on_result(has_crashed);
                         });
}

} // namespace medlar
