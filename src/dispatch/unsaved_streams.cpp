#include <medlar/detail/dispatch/unsaved_streams.hpp>

#include <utility>

namespace medlar
{

namespace
{

// a decimal number of 64 bits and its comma
constexpr std::size_t stream_bytes = 21;

// field names and punctuation of a group of streams
constexpr std::size_t group_bytes = 48;

} // namespace

void unsaved_streams::add(stream_key stream,
                          const stream_origin& origin,
                          std::function<void()> on_saved)
{
    const bool is_new = keys_.insert(stream).second;
    if (is_new || on_saved)
    {
        waiting_.push_back({stream, origin, std::move(on_saved)});
    }
    if (waiting_.size() > max_unsaved_streams)
    {
        keys_.erase(waiting_.front().stream);
        waiting_.pop_front();
    }
}

unsaved_streams::record unsaved_streams::take(std::size_t max_bytes)
{
    record taken;
    std::size_t bytes = 0;
    while (!waiting_.empty())
    {
        unsaved_stream& next = waiting_.front();
        const bool is_new_group = taken.streams.count(next.origin) == 0;
        bytes += stream_bytes;
        if (is_new_group)
        {
            bytes += group_bytes + next.origin.pool.get().size() +
                     next.origin.version.get().size();
        }
        if (bytes > max_bytes && !taken.streams.empty())
        {
            break;
        }
        taken.streams[next.origin].push_back(next.stream);
        if (next.on_saved)
        {
            taken.on_saved.push_back(std::move(next.on_saved));
        }
        keys_.erase(next.stream);
        waiting_.pop_front();
    }
    return taken;
}

} // namespace medlar
