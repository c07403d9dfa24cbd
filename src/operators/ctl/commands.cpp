#include <medlar/detail/operators/ctl/commands.hpp>
#include <medlar/detail/operators/ctl/session.hpp>

#include <absl/strings/str_cat.h>

#include <array>
#include <limits>

namespace medlar
{

namespace
{

constexpr std::size_t any_number = std::numeric_limits<std::size_t>::max();

/// @brief one command of medlarctl
struct command
{
    /// one or two words
    const char* first;
    const char* second;
    const char* arguments;
    std::size_t min_arguments;
    std::size_t max_arguments;
    ctl_exit (*run)(ctl_session&);
    const char* meaning;

    std::size_t words() const
    {
        return *second == '\0' ? 1 : 2;
    }
};

constexpr std::array<command, 12> commands{{
    {"apply", "", "FILE", 1, 1, apply_command, "replace the document by that of a file"},
    {"get", "", "[REVISION]", 0, 1, get_command, "print the accepted document"},
    {"diff", "", "FILE", 1, 1, diff_command, "compare a file with the accepted document"},
    {"history", "", "", 0, 0, history_command, "list accepted changes, newest first"},
    {"rollback",
     "",
     "REVISION",
     1,
     1,
     rollback_command,
     "accept an earlier content again"},
    {"change", "status", "ID", 1, 1, change_status_command, "settle an unknown change"},
    {"target", "drain", "NAME", 1, 1, drain_command, "give a target no new work"},
    {"target", "undrain", "NAME", 1, 1, undrain_command, "give a target work again"},
    {"status", "", "", 0, 0, status_command, "show what is in force on each host"},
    {"explain", "", "ORGANISATION/ID", 1, 1, explain_command, "trace one request"},
    {"view",
     "force",
     "HOST...",
     1,
     any_number,
     force_view_command,
     "remove stopped hosts"},
    {"order",
     "model",
     "POOL [ACTION:MODEL[@VERSION]]...",
     1,
     any_number,
     order_model_command,
     "set what engines are to hold"},
}};

bool matches(const command& one, const std::vector<std::string>& words)
{
    const std::size_t count = one.words();
    return words.size() >= count && words[0] == one.first &&
           (count == 1 || words[1] == one.second);
}

bool takes(const command& one, std::size_t arguments)
{
    return arguments >= one.min_arguments && arguments <= one.max_arguments;
}

} // namespace

ctl_exit run_command(const ctl_options& options,
                     const std::vector<std::string>& words,
                     std::ostream& out,
                     std::ostream& errors)
{
    for (const command& one : commands)
    {
        if (!matches(one, words) || !takes(one, words.size() - one.words()))
        {
            continue;
        }
        const auto first_argument = words.begin() + static_cast<long>(one.words());
        ctl_session session(options, {first_argument, words.end()}, out, errors);
        return one.run(session);
    }
    errors << ctl_usage();
    return ctl_exit::usage;
}

std::string ctl_usage()
{
    std::string text = "usage: medlarctl [--flags] COMMAND\n";
    for (const command& one : commands)
    {
        absl::StrAppend(
            &text, "  ", one.first, *one.second == '\0' ? "" : " ", one.second);
        absl::StrAppend(&text, *one.arguments == '\0' ? "" : " ", one.arguments);
        absl::StrAppend(&text, ": ", one.meaning, "\n");
    }
    return text;
}

} // namespace medlar
