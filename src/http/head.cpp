#include <medlar/detail/http/head.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace medlar
{

namespace
{

constexpr std::array<absl::string_view, 9> hop_by_hop_names{"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade"};

bool is_persistent(const header_list& headers, int minor_version)
{
    if (headers.has_token("connection", "close"))
    {
        return false;
    }
    return minor_version >= 1 || headers.has_token("connection", "keep-alive");
}

} // namespace

absl::string_view to_string(body_kind kind)
{
    switch (kind)
    {
        case body_kind::none:
            return "none";
        case body_kind::length:
            return "length";
        case body_kind::chunked:
            return "chunked";
        case body_kind::until_close:
            return "until_close";
    }
    return "unknown";
}

void header_list::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

const std::string* header_list::find(absl::string_view name) const
{
    for (const header_field& each : fields_)
    {
        if (absl::EqualsIgnoreCase(each.name, name))
        {
            return &each.value;
        }
    }
    return nullptr;
}

absl::string_view header_list::get(absl::string_view name) const
{
    const std::string* found = find(name);
    return found == nullptr ? absl::string_view() : absl::string_view(*found);
}

std::size_t header_list::count(absl::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(fields_.begin(),
                                                  fields_.end(),
                                                  [&](const header_field& each)
                                                  {
                                                      return absl::EqualsIgnoreCase(
                                                          each.name, name);
                                                  }));
}

void header_list::remove(absl::string_view name)
{
    fields_.erase(std::remove_if(fields_.begin(),
                                 fields_.end(),
                                 [&](const header_field& each)
                                 {
                                     return absl::EqualsIgnoreCase(each.name, name);
                                 }),
                  fields_.end());
}

bool header_list::has_token(absl::string_view name, absl::string_view token) const
{
    for (const header_field& each : fields_)
    {
        if (!absl::EqualsIgnoreCase(each.name, name))
        {
            continue;
        }
        for (absl::string_view part : absl::StrSplit(each.value, ','))
        {
            if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), token))
            {
                return true;
            }
        }
    }
    return false;
}

absl::string_view request_head::path() const
{
    const absl::string_view whole(target);
    return whole.substr(0, whole.find('?'));
}

bool request_head::keeps_connection() const
{
    return is_persistent(headers, minor_version);
}

bool answer_head::keeps_connection() const
{
    return framing.kind != body_kind::until_close &&
           is_persistent(headers, minor_version);
}

bool is_hop_by_hop(absl::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(),
                       hop_by_hop_names.end(),
                       [&](absl::string_view each)
                       {
                           return absl::EqualsIgnoreCase(each, name);
                       });
}

void remove_hop_by_hop(header_list& headers)
{
    const std::string named(headers.get("connection"));
    for (absl::string_view each : absl::StrSplit(named, ',', absl::SkipWhitespace()))
    {
        headers.remove(absl::StripAsciiWhitespace(each));
    }
    for (absl::string_view each : hop_by_hop_names)
    {
        headers.remove(each);
    }
}

void write_headers(std::string& out, const header_list& headers)
{
    for (const header_field& each : headers)
    {
        absl::StrAppend(&out, each.name, ": ", each.value, "\r\n");
    }
    out += "\r\n";
}

} // namespace medlar
