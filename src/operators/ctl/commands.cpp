#include <medlar/detail/operators/ctl/commands.hpp>
#include <medlar/detail/operators/ctl/session.hpp>

#include <absl/strings/str_cat.h>

#include <array>
#include <limits>

namespace medlar
{

namespace
{

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

/// @brief one command of medlarctl
struct command
{
    /// first and, unless empty, second word of the name
    const char* first;
    const char* second;
    const char* arguments;
    std::size_t min_arguments;
    std::size_t max_arguments;
    ctl_exit (*run)(ctl_session&);
    const char* description;

    std::size_t word_count() const
    {
        return *second == '\0' ? 1 : 2;
    }
};

constexpr std::array<command, 12> commands{{
    {"apply",
     "",
     "FILE",
     1,
     1,
     apply_command,
     "replace the document by the one in a file"},
    {"get", "", "[REVISION]", 0, 1, get_command, "print the accepted document"},
    {"diff", "", "FILE", 1, 1, diff_command, "compare a file with the accepted document"},
    {"history", "", "", 0, 0, history_command, "list accepted changes, newest first"},
    {"rollback",
     "",
     "REVISION",
     1,
     1,
     rollback_command,
     "restore the content of an earlier revision"},
    {"change",
     "status",
     "ID",
     1,
     1,
     change_status_command,
     "determine the outcome of a change"},
    {"target", "drain", "NAME", 1, 1, drain_command, "stop sending new work to a target"},
    {"target",
     "undrain",
     "NAME",
     1,
     1,
     undrain_command,
     "resume sending work to a target"},
    {"status",
     "",
     "",
     0,
     0,
     status_command,
     "show the configuration and view of each host"},
    {"explain", "", "ORGANISATION/ID", 1, 1, explain_command, "trace one request"},
    {"view",
     "force",
     "HOST...",
     1,
     unlimited,
     force_view_command,
     "remove stopped hosts from the view"},
    {"order",
     "model",
     "POOL [ACTION:MODEL[@VERSION]]...",
     1,
     unlimited,
     order_model_command,
     "set the models of the engines of a pool"},
}};

bool matches(const command& candidate, const std::vector<std::string>& words)
{
    const std::size_t count = candidate.word_count();
    return words.size() >= count && words[0] == candidate.first &&
           (count == 1 || words[1] == candidate.second);
}

bool accepts(const command& candidate, std::size_t arguments)
{
    return arguments >= candidate.min_arguments && arguments <= candidate.max_arguments;
}

} // namespace

ctl_exit run_command(const ctl_options& options,
                     const std::vector<std::string>& words,
                     std::ostream& out,
                     std::ostream& errors)
{
    for (const command& candidate : commands)
    {
        if (!matches(candidate, words) ||
            !accepts(candidate, words.size() - candidate.word_count()))
        {
            continue;
        }
        const auto first_argument =
            words.begin() + static_cast<long>(candidate.word_count());
        ctl_session session(options, {first_argument, words.end()}, out, errors);
        return candidate.run(session);
    }
    errors << ctl_usage();
    return ctl_exit::usage;
}

std::string ctl_usage()
{
    std::string text = "usage: medlarctl [--flags] COMMAND\n";
    for (const command& candidate : commands)
    {
        absl::StrAppend(&text,
                        "  ",
                        candidate.first,
                        *candidate.second == '\0' ? "" : " ",
                        candidate.second);
        absl::StrAppend(
            &text, *candidate.arguments == '\0' ? "" : " ", candidate.arguments);
        absl::StrAppend(&text, ": ", candidate.description, "\n");
    }
    return text;
}

} // namespace medlar
