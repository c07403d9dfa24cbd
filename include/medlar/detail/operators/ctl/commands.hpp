#ifndef MEDLAR_DETAIL_OPERATORS_CTL_COMMANDS_HPP
#define MEDLAR_DETAIL_OPERATORS_CTL_COMMANDS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace medlar
{

/// @brief exit codes of medlarctl
enum class ctl_exit : int
{
    done = 0,
    usage = 1,
    refused = 2,
    conflict = 3,
    unknown = 4,
    unreachable = 5,
};

/// @brief options of medlarctl, set from its flags
struct ctl_options
{
    std::vector<endpoint> operators;
    millis timeout{30000};
    bool json = false;
    /// generated if empty
    std::string change_id;
    std::string author;
    std::optional<std::uint64_t> expected_revision;
    std::uint64_t above_revision = 0;
    std::optional<std::uint64_t> based_on;
    std::uint64_t epoch = 0;
    std::string confirmation;
    std::uint32_t limit = 0;
    bool from_gateway = false;
};

/// @brief Runs one command of medlarctl.
/// @param words the command and its arguments, such as {"target", "drain", "engine-1"}
/// @param out receives results
/// @param errors receives errors and hints
ctl_exit run_command(const ctl_options& options,
                     const std::vector<std::string>& words,
                     std::ostream& out,
                     std::ostream& errors);

/// @brief Returns the usage text, with one line for each command.
std::string ctl_usage();

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CTL_COMMANDS_HPP
