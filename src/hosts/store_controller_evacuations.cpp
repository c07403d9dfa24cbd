// Part of store_controller: evacuations, which some hosts do not mirror.

#include <medlar/detail/hosts/store_controller.hpp>
#include <medlar/detail/http/status.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// a store that does not answer in this time is asked again
constexpr millis read_timeout{1200};

} // namespace

void store_controller::set_prefixes()
{
    const bool is_mirrored = context_.settings.evacuate_bound.has_value();
    prefixes_ = {context_.protocol.configuration_key()};
    if (is_mirrored)
    {
        // before the targets, so that none is known without it
        prefixes_.push_back(context_.protocol.evacuation_prefix());
    }
    for (std::string each : {context_.protocol.target_prefix(),
                             context_.protocol.blocked_suspect_prefix(),
                             context_.protocol.version_prefix(),
                             context_.protocol.share_prefix(),
                             context_.protocol.host_prefix()})
    {
        prefixes_.push_back(std::move(each));
    }
    mirror_.set_evacuations(context_.protocol.evacuation_prefix(), is_mirrored);
}

void store_controller::set_registration(std::string registration)
{
    if (registration == registration_)
    {
        return;
    }
    registration_ = std::move(registration);
    if (lease_ && !is_leaving_)
    {
        ++registration_number_;
        write_registration(*lease_, context_.loop.now());
    }
}

std::vector<host_id> store_controller::choose_relays() const
{
    std::vector<peer_host> hosts = peers_.live_hosts();
    if (context_.settings.evacuate_bound)
    {
        const auto lacks_evacuations = [this](const peer_host& each)
        {
            return !each.mirrors_evacuations && each.id != context_.settings.host;
        };
        hosts.erase(std::remove_if(hosts.begin(), hosts.end(), lacks_evacuations),
                    hosts.end());
    }
    return relays_of(context_.settings.domain, hosts);
}

void store_controller::read_missing_evacuations()
{
    if (!mirror_.lacks_evacuations() || is_reading_ || is_store_lost_ ||
        is_reading_evacuations_)
    {
        return;
    }
    is_reading_evacuations_ = true;
    read_evacuations_after({}, {});
}

void store_controller::read_evacuations_after(const std::string& after,
                                              store_page collected)
{
    const std::string prefix = context_.protocol.evacuation_prefix();
    call(context_.protocol.write_range_call(prefix, after, read_mode::linearizable),
         read_timeout,
         [this, prefix, collected](const reply& received) mutable
         {
             absl::StatusOr<store_page> page = context_.protocol.read_page(received.body);
             const bool usable = received.status == status_ok && page.ok();
             record_contact(usable);
             if (!usable)
             {
                 context_.loop.after(next_retry_delay(),
                                     [this]
                                     {
                                         is_reading_evacuations_ = false;
                                     });
                 return;
             }
             page->era = received.era;
             append_page(collected, *page);
             if (page->has_more && !page->items.empty())
             {
                 const std::string last_key = page->items.back().key;
                 read_evacuations_after(last_key, std::move(collected));
                 return;
             }
             is_reading_evacuations_ = false;
             if (context_.settings.evacuate_bound)
             {
                 mirror_.replace(prefix, collected, context_.loop.now());
             }
         });
}

} // namespace medlar
