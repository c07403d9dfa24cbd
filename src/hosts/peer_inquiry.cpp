#include <medlar/detail/hosts/peer_inquiry.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// peers that know nothing after which the others are taken to have started as well
constexpr std::size_t enough_peers = 3;

// the operator and the targets write again within about two seconds what a copy lacks
constexpr millis inquiry_timeout{4000};

} // namespace

std::size_t peer_inquiry::peers_to_ask(bool has_read_store)
{
    return has_read_store ? enough_peers : 1;
}

void peer_inquiry::record_ignorance(const host_id& peer, std::size_t registered_peers)
{
    ignorant_.insert(peer);
    if (ignorant_.size() >= std::min(enough_peers, registered_peers))
    {
        is_done_ = true;
    }
}

bool peer_inquiry::is_done(steady_time now) const
{
    return is_done_ || now - started_ >= inquiry_timeout;
}

} // namespace medlar
