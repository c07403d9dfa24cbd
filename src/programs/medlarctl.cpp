#include <medlar/detail/operators/ctl/commands.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(operator,
              "127.0.0.1:7600",
              "addresses of operator programs, tried in turn");
DEFINE_string(output, "table", "format of results: table or json");
DEFINE_int32(timeout_ms, 30000, "timeout of a call to an operator program");
DEFINE_string(change_id, "", "id of the change; empty: a new one");
DEFINE_string(author, "", "author of the change; empty: the name of the user");
DEFINE_int64(expected_revision,
             -1,
             "refuse unless this is the current revision; -1: any");
DEFINE_uint64(above_revision, 0, "the newest revision lost by a store");
DEFINE_int64(based_on, -1, "the revision that an unknown change was based on");
DEFINE_uint64(epoch, 0, "the epoch of the view to force");
DEFINE_string(confirm, "", "the confirmation that view force requires");
DEFINE_uint32(limit, 0, "maximum number of changes listed by history; 0: all");
DEFINE_bool(from_gateway,
            false,
            "get the configuration in force at the operator's gateway");
DEFINE_bool(check, false, "print the settings and their sources, and exit");

namespace
{

using medlar::ctl_exit;

std::string author()
{
    const char* user = std::getenv("USER");
    if (!FLAGS_author.empty() || user == nullptr)
    {
        return FLAGS_author;
    }
    return user;
}

std::optional<std::uint64_t> optional_number(std::int64_t flag)
{
    if (flag < 0)
    {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(flag);
}

absl::StatusOr<medlar::ctl_options> read_options()
{
    const auto operators = medlar::parse_endpoints(FLAGS_operator);
    if (!operators.ok())
    {
        return operators.status();
    }
    if (FLAGS_output != "table" && FLAGS_output != "json")
    {
        return absl::InvalidArgumentError("--output: must be table or json");
    }
    if (FLAGS_timeout_ms <= 0)
    {
        return absl::InvalidArgumentError("--timeout_ms: must be over 0");
    }
    medlar::ctl_options options;
    options.operators = *operators;
    options.timeout = medlar::millis(FLAGS_timeout_ms);
    options.json = FLAGS_output == "json";
    options.change_id = FLAGS_change_id;
    options.author = author();
    options.expected_revision = optional_number(FLAGS_expected_revision);
    options.above_revision = FLAGS_above_revision;
    options.based_on = optional_number(FLAGS_based_on);
    options.epoch = FLAGS_epoch;
    options.confirmation = FLAGS_confirm;
    options.limit = FLAGS_limit;
    options.from_gateway = FLAGS_from_gateway;
    return options;
}

} // namespace

/// The command-line client for operators, described in docs/MEDLARCTL.md.
int main(int argc, char** argv)
{
    gflags::SetUsageMessage(medlar::ctl_usage());
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    const absl::StatusOr<medlar::ctl_options> options = read_options();
    if (!loaded.ok() || !options.ok())
    {
        std::cerr << "error: "
                  << (loaded.ok() ? options.status().message() : loaded.message())
                  << "\n";
        return static_cast<int>(ctl_exit::usage);
    }
    if (FLAGS_check)
    {
        medlar::print_settings(std::cout);
        return static_cast<int>(ctl_exit::done);
    }
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(medlar::run_command(*options, words, std::cout, std::cerr));
}
