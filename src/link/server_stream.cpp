#include <medlar/detail/link/link_limits.hpp>
#include <medlar/detail/link/server_stream.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace medlar
{

void stream_mailbox::post(std::int32_t stream)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        posted_.push_back(stream);
    }
    wake_.wake();
}

std::vector<std::int32_t> stream_mailbox::take()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(posted_, {});
}

server_stream::server_stream(std::int32_t number, std::shared_ptr<stream_mailbox> mailbox)
    : number_(number), mailbox_(std::move(mailbox))
{
}

bool server_stream::send(absl::string_view part)
{
    {
        std::unique_lock<std::mutex> lock(mutex_);
        room_.wait(lock,
                   [this]
                   {
                       return cancelled_ ||
                              unsent_.size() < link_limits::max_unsent_bytes;
                   });
        if (cancelled_)
        {
            return false;
        }
        unsent_.append(part.data(), part.size());
    }
    mailbox_->post(number_);
    return true;
}

bool server_stream::cancelled() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return cancelled_;
}

void server_stream::finish(int status)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!started_ && unsent_.empty())
        {
            status_ = status;
        }
        finished_ = true;
    }
    mailbox_->post(number_);
}

void server_stream::cancel()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_ = true;
    }
    room_.notify_all();
}

bool server_stream::take_start(int& status)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (started_ || (unsent_.empty() && !finished_))
    {
        return false;
    }
    started_ = true;
    status = status_;
    return true;
}

std::size_t server_stream::read(std::uint8_t* to, std::size_t room, bool& ended)
{
    std::size_t given = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        given = std::min(room, unsent_.size());
        std::memcpy(to, unsent_.data(), given);
        unsent_.erase(0, given);
        ended = finished_ && unsent_.empty();
    }
    room_.notify_all();
    return given;
}

} // namespace medlar
