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

server_stream::server_stream(std::int32_t stream_id,
                             std::shared_ptr<stream_mailbox> mailbox)
    : stream_id_(stream_id), mailbox_(std::move(mailbox))
{
}

bool server_stream::send(absl::string_view part)
{
    {
        std::unique_lock<std::mutex> lock(mutex_);
        space_available_.wait(lock,
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
    mailbox_->post(stream_id_);
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
    mailbox_->post(stream_id_);
}

void server_stream::cancel()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_ = true;
    }
    space_available_.notify_all();
}

bool server_stream::try_start(int& status)
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

std::size_t server_stream::read(std::uint8_t* out, std::size_t capacity, bool& ended)
{
    std::size_t copied = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        copied = std::min(capacity, unsent_.size());
        std::memcpy(out, unsent_.data(), copied);
        unsent_.erase(0, copied);
        ended = finished_ && unsent_.empty();
    }
    space_available_.notify_all();
    return copied;
}

} // namespace medlar
