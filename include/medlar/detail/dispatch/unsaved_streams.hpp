#ifndef MEDLAR_DETAIL_DISPATCH_UNSAVED_STREAMS_HPP
#define MEDLAR_DETAIL_DISPATCH_UNSAVED_STREAMS_HPP

#include <medlar/detail/dispatch/version_history.hpp>
#include <medlar/detail/dispatch/version_shares.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <unordered_set>
#include <vector>

namespace medlar
{

/// @brief Streams by where they have begun.
using streams_by_origin = std::map<stream_origin, std::vector<stream_key>>;

/// @brief streams that a keeper holds while the store is away; more than one keeper gets
/// in max_stream_age
constexpr std::size_t max_unsaved_streams = 65536;

/// @brief The streams that a keeper has to save, in the order in which they came.
///
/// Answers to the load of a release among hundreds of hosts, whose streams of the last
/// minute come at once, or of a store that was away: they are taken in records that the
/// store accepts.
class unsaved_streams
{
  public:
    /// @brief Adds a stream, unless it waits already. Beyond max_unsaved_streams the
    /// oldest one is dropped.
    /// @param on_saved called once the stream is in the store; may be empty
    void add(stream_key stream,
             const stream_origin& origin,
             std::function<void()> on_saved = nullptr);

    bool empty() const
    {
        return waiting_.empty();
    }

    /// @brief What one write to the store saves.
    struct record
    {
        streams_by_origin streams;
        std::vector<std::function<void()>> on_saved;
    };

    /// @brief Removes the oldest streams.
    /// @param max_bytes upper limit of the record's text; at least one stream is taken
    record take(std::size_t max_bytes);

  private:
    struct unsaved_stream
    {
        stream_key stream;
        stream_origin origin;
        std::function<void()> on_saved;
    };

    std::deque<unsaved_stream> waiting_;
    std::unordered_set<stream_key> keys_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_UNSAVED_STREAMS_HPP
