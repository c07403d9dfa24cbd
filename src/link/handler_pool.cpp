#include <medlar/detail/link/handler_pool.hpp>

#include <Poco/Exception.h>
#include <Poco/Runnable.h>

#include <exception>
#include <utility>

namespace medlar
{

namespace
{

constexpr int min_threads = 2;
// the pool has threads for this number of paths at their limit
constexpr int max_busy_paths = 4;
constexpr int idle_seconds = 20;
constexpr int status_failed = 500;

} // namespace

/// @brief Task that handles one call on a thread of the pool; deletes itself.
class handler_pool::job : public Poco::Runnable
{
  public:
    job(handler_pool& pool, std::shared_ptr<server_stream> stream)
        : pool_(pool), stream_(std::move(stream))
    {
    }

    void run() override
    {
        const std::unique_ptr<job> self(this);
        pool_.serve(*stream_);
        pool_.release_slot(stream_->request.path);
    }

  private:
    handler_pool& pool_;
    std::shared_ptr<server_stream> stream_;
};

handler_pool::handler_pool(link_handler handler, int max_per_path)
    : handler_(std::move(handler)),
      max_per_path_(max_per_path),
      threads_(min_threads, max_per_path * max_busy_paths + min_threads, idle_seconds, 0)
{
}

handler_pool::~handler_pool()
{
    threads_.joinAll();
}

bool handler_pool::start(const std::shared_ptr<server_stream>& stream)
{
    const std::string path = stream->request.path;
    if (!acquire_slot(path))
    {
        return false;
    }
    auto new_job = std::make_unique<job>(*this, stream);
    try
    {
        threads_.start(*new_job);
    }
    catch (const Poco::Exception&)
    {
        release_slot(path);
        return false;
    }
    // owned by its run() from here on
    [[maybe_unused]] job* const running = new_job.release();
    return true;
}

bool handler_pool::acquire_slot(const std::string& path)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    int& count = active_calls_[path];
    if (count >= max_per_path_)
    {
        return false;
    }
    count++;
    return true;
}

void handler_pool::release_slot(const std::string& path)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = active_calls_.find(path);
    found->second--;
    if (found->second == 0)
    {
        active_calls_.erase(found);
    }
}

void handler_pool::serve(server_stream& stream) noexcept
{
    int status = status_failed;
    try
    {
        status = handler_(stream.request, stream);
    }
    catch (const std::exception&)
    {
        status = status_failed;
    }
    stream.finish(status);
}

} // namespace medlar
