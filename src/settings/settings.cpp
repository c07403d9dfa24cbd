#include <medlar/detail/base/error.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <Poco/Net/IPAddress.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cctype>
#include <cstdlib>

namespace medlar
{

namespace
{

constexpr absl::string_view environment_prefix = "MEDLAR_";
constexpr int max_port = 65535;

absl::Status bad_setting(absl::string_view message)
{
    return make_error(
        absl::StatusCode::kInvalidArgument, error_number::bad_setting, message);
}

/// whether a flag is defined by this project, not by gflags or another library
bool is_project_flag(const gflags::CommandLineFlagInfo& flag)
{
    return absl::StrContains(flag.filename, "src/programs/") ||
           absl::StrContains(flag.filename, "src/settings/") ||
           absl::StrContains(flag.filename, "test/standins/");
}

std::string environment_name(const std::string& flag)
{
    std::string name(environment_prefix.data(), environment_prefix.size());
    for (const char letter : flag)
    {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return name;
}

bool is_from_environment(const gflags::CommandLineFlagInfo& flag)
{
    const char* value = std::getenv(environment_name(flag.name).c_str());
    return value != nullptr && flag.current_value == value;
}

absl::string_view source_of(const gflags::CommandLineFlagInfo& flag)
{
    if (flag.is_default)
    {
        return "default";
    }
    return is_from_environment(flag) ? "environment" : "flag";
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(absl::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == absl::string_view::npos)
    {
        return bad_setting(absl::StrCat("'", text, "' is not ADDRESS:PORT"));
    }
    const std::string address(text.substr(0, colon));
    Poco::Net::IPAddress parsed;
    if (!Poco::Net::IPAddress::tryParse(address, parsed))
    {
        return bad_setting(absl::StrCat("'", address, "' is not an IP address"));
    }
    int port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 || port > max_port)
    {
        return bad_setting(absl::StrCat("'", text, "' has no port from 0 to 65535"));
    }
    return endpoint{address, static_cast<std::uint16_t>(port)};
}

absl::StatusOr<std::vector<endpoint>> parse_endpoints(absl::string_view text)
{
    std::vector<endpoint> endpoints;
    for (const absl::string_view part : absl::StrSplit(text, ',', absl::SkipWhitespace()))
    {
        absl::StatusOr<endpoint> parsed = parse_endpoint(part);
        if (!parsed.ok())
        {
            return parsed.status();
        }
        endpoints.push_back(*parsed);
    }
    return endpoints;
}

absl::Status load_settings(int* argc, char*** argv)
{
    gflags::ParseCommandLineFlags(argc, argv, true);
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo& flag : flags)
    {
        const std::string variable = environment_name(flag.name);
        const char* value = std::getenv(variable.c_str());
        if (!is_project_flag(flag) || value == nullptr || !flag.is_default)
        {
            continue;
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty())
        {
            return bad_setting(absl::StrCat(variable,
                                            "='",
                                            value,
                                            "' is not a valid ",
                                            flag.type,
                                            " for --",
                                            flag.name));
        }
    }
    return absl::OkStatus();
}

void print_settings(std::ostream& out)
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo& flag : flags)
    {
        if (is_project_flag(flag))
        {
            out << flag.name << " = " << flag.current_value << " (" << source_of(flag)
                << ")\n";
        }
    }
}

} // namespace medlar
