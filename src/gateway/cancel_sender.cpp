#include <medlar/detail/gateway/cancel_sender.hpp>

#include <utility>

namespace medlar
{

std::unique_ptr<cancel_sender> cancel_sender::create(const stage_client& client,
                                                     millis timeout)
{
    return std::unique_ptr<cancel_sender>(new cancel_sender(client, timeout));
}

cancel_sender::cancel_sender(const stage_client& client, millis timeout)
    : client_(client),
      timeout_(timeout),
      thread_(
          [this]
          {
              run();
          })
{
}

cancel_sender::~cancel_sender()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    thread_.join();
}

void cancel_sender::send(const endpoint& remote, const std::string& call_id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_.size() < max_pending)
    {
        pending_.push_back({remote, call_id});
        changed_.notify_all();
    }
}

void cancel_sender::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (true)
    {
        changed_.wait(lock,
                      [this]
                      {
                          return stopping_ || !pending_.empty();
                      });
        if (stopping_)
        {
            return;
        }
        const pending_cancel next = std::move(pending_.front());
        pending_.pop_front();
        lock.unlock();
        client_.cancel(next.remote, next.call_id, timeout_);
        lock.lock();
    }
}

} // namespace medlar
