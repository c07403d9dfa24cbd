#ifndef MEDLAR_DETAIL_HOSTS_PEER_INQUIRY_HPP
#define MEDLAR_DETAIL_HOSTS_PEER_INQUIRY_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <cstddef>
#include <set>

namespace medlar
{

/// @brief Decides when a starting host has asked enough peers what they know.
///
/// A store that has returned from an old copy may show a starting host a key that was
/// withdrawn, or a target that has left; its peers know better. Until it has asked them,
/// the host answers 503. Has no I/O and no clock.
class peer_inquiry
{
  public:
    explicit peer_inquiry(steady_time started) : started_(started)
    {
    }

    /// @brief Returns the number of peers to ask at once.
    /// @param has_read_store whether this host has read the store, so that an answer
    /// holds only what the store does not show; otherwise an answer holds everything
    static std::size_t peers_to_ask(bool has_read_store);

    /// @brief Records a peer's answer with what it knows; the inquiry is done.
    void record_knowledge()
    {
        is_done_ = true;
    }

    /// @brief Records that a peer knows nothing, because it has just started, or is not
    /// running. The inquiry is done once all peers, or enough of them, know nothing.
    void record_ignorance(const host_id& peer, std::size_t registered_peers);

    /// @brief Records that the store was read and names no other host.
    void record_no_peers()
    {
        is_done_ = true;
    }

    /// @brief Returns whether the inquiry is done, or its time is over.
    bool is_done(steady_time now) const;

  private:
    steady_time started_;
    std::set<host_id> ignorant_;
    bool is_done_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_PEER_INQUIRY_HPP
