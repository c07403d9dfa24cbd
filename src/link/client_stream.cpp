#include <medlar/detail/link/client_stream.hpp>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

namespace medlar
{

client_stream::client_stream(std::string path, std::string body)
    : path_(std::move(path)), body_(std::move(body))
{
}

client_stream::progress client_stream::wait(millis timeout)
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock,
                      std::chrono::milliseconds(timeout.count()),
                      [this]
                      {
                          return !parts_.empty() || ended_.has_value();
                      });
    return {std::exchange(parts_, {}), ended_};
}

bool client_stream::abandon()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    abandoned_ = true;
    return begun_;
}

void client_stream::add_consumed(std::size_t bytes)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    consumed_ += bytes;
}

bool client_stream::begin()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    begun_ = !abandoned_;
    return begun_;
}

bool client_stream::abandoned() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return abandoned_;
}

std::size_t client_stream::take_consumed()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(consumed_, 0);
}

void client_stream::set_status(int status)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    status_ = status;
}

void client_stream::add_part(absl::string_view part)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        parts_.emplace_back(part);
    }
    changed_.notify_all();
}

void client_stream::succeed()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (ended_.has_value())
        {
            return;
        }
        if (status_ == 0)
        {
            ended_ = make_error(absl::StatusCode::kInternal,
                                error_number::link_malformed,
                                "the answer has no status");
        }
        else
        {
            ended_ = status_;
        }
    }
    changed_.notify_all();
}

void client_stream::fail(const absl::Status& error)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!ended_.has_value())
        {
            ended_ = error;
        }
    }
    changed_.notify_all();
}

std::size_t client_stream::read(std::uint8_t* out, std::size_t capacity, bool& ended)
{
    const std::size_t copied = std::min(capacity, body_.size() - sent_);
    std::memcpy(out, body_.data() + sent_, copied);
    sent_ += copied;
    ended = sent_ == body_.size();
    return copied;
}

} // namespace medlar
