#include <medlar/detail/base/error.hpp>
#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/listening_socket.hpp>

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

// one connection is accepted for each event, so a burst of callers waits in the backlog
constexpr int accept_backlog = 1024;

// Without a descriptor left, accepting fails at each event until one is closed.
constexpr millis pause_after_failure{100};

} // namespace

listener::listener(event_loop& loop, accept_action on_accept, error_action on_error)
    : loop_(loop), on_accept_(std::move(on_accept)), on_error_(std::move(on_error))
{
}

absl::StatusOr<std::shared_ptr<listener>> listener::open(event_loop& loop,
                                                         const endpoint& where,
                                                         accept_action on_accept,
                                                         error_action on_error)
{
    std::shared_ptr<listener> created(
        new listener(loop, std::move(on_accept), std::move(on_error)));
    try
    {
        created->socket_ = open_listening_socket(where, accept_backlog);
        created->socket_.setBlocking(false);
        created->open_ = true;
        loop.watch(created->socket_, created, true, false);
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            absl::StatusCode::kUnavailable,
            error_number::bad_setting,
            absl::StrCat(
                "cannot listen at ", to_string(where), ": ", error.displayText()));
    }
    return created;
}

void listener::update_watch()
{
    if (open_)
    {
        loop_.change(socket_, !is_paused_ && !has_failed_, false);
    }
}

void listener::set_paused(bool paused)
{
    if (is_paused_ != paused)
    {
        is_paused_ = paused;
        update_watch();
    }
}

void listener::close()
{
    if (open_)
    {
        open_ = false;
        loop_.unwatch(socket_);
        socket_.close();
    }
}

void listener::on_ready(readiness)
{
    if (!open_)
    {
        return;
    }
    try
    {
        const std::shared_ptr<connection> stream =
            connection::from_accepted(loop_, socket_.acceptConnection());
        if (stream->is_open())
        {
            on_accept_(stream);
        }
    }
    catch (const Poco::Exception& error)
    {
        has_failed_ = true;
        update_watch();
        const std::weak_ptr<listener> weak = weak_from_this();
        loop_.after(pause_after_failure,
                    [weak]
                    {
                        if (const auto self = weak.lock())
                        {
                            self->has_failed_ = false;
                            self->update_watch();
                        }
                    });
        on_error_(error.displayText());
    }
}

} // namespace medlar
