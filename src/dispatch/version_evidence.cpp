#include <medlar/detail/dispatch/version_evidence.hpp>

namespace medlar
{

absl::string_view to_string(version_evidence evidence)
{
    switch (evidence)
    {
        case version_evidence::none:
            return "none";
        case version_evidence::store:
            return "store";
        case version_evidence::host:
            return "host";
        case version_evidence::all_hosts:
            return "all_hosts";
    }
    return "none";
}

void version_inquiry::record_answer(const host_id& from, bool is_current)
{
    answered_.insert(from);
    refused_.erase(from);
    is_host_current_ = is_host_current_ || is_current;
}

void version_inquiry::record_refused(const host_id& host)
{
    refused_.insert(host);
}

version_evidence version_inquiry::evidence(const std::vector<host_id>& others,
                                           bool is_store_away) const
{
    if (is_copy_current_)
    {
        return version_evidence::store;
    }
    if (is_host_current_)
    {
        return version_evidence::host;
    }
    return is_store_away && have_all_answered(others) ? version_evidence::all_hosts
                                                      : version_evidence::none;
}

bool version_inquiry::have_all_answered(const std::vector<host_id>& others) const
{
    std::size_t answers = 0;
    for (const host_id& each : others)
    {
        if (answered_.count(each) > 0)
        {
            ++answers;
        }
        else if (refused_.count(each) == 0)
        {
            return false;
        }
    }
    // a host that is cut off may be refused everywhere: most others have to answer. Those
    // that have ended told the keepers of streams at versions that they knew of
    return answers * 2 >= others.size();
}

} // namespace medlar
