#ifndef MEDLAR_DETAIL_GATEWAY_CANCEL_SENDER_HPP
#define MEDLAR_DETAIL_GATEWAY_CANCEL_SENDER_HPP

#include <medlar/detail/gateway/stage_client.hpp>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace medlar
{

/// @brief A thread that sends cancels for abandoned calls to targets, so that answers to
/// callers are not delayed by them.
class cancel_sender
{
  public:
    /// @param timeout time limit for each cancel
    static std::unique_ptr<cancel_sender> create(const stage_client& client,
                                                 millis timeout);

    ~cancel_sender();

    /// @brief Queues a cancel; drops it if the queue is full.
    void send(const endpoint& remote, const std::string& call_id);

  private:
    struct pending_cancel
    {
        endpoint remote;
        std::string call_id;
    };

    static constexpr std::size_t max_pending = 4096;

    cancel_sender(const stage_client& client, millis timeout);

    void run();

    const stage_client& client_;
    millis timeout_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::deque<pending_cancel> pending_;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_CANCEL_SENDER_HPP
