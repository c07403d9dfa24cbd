#include "soak/target_request.hpp"

#include "platform/names.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>
#include <vector>

namespace medlar::soak
{

namespace
{

/// Returns the name of the socket of a loopback connection, as the entries below
/// /proc/PID/fd have it; empty if it is closed.
std::string socket_name(std::uint16_t from, std::uint16_t to)
{
    // columns of /proc/net/tcp
    constexpr std::size_t local = 1;
    constexpr std::size_t remote = 2;
    constexpr std::size_t inode = 9;
    const auto address = [](std::uint16_t port)
    {
        return absl::AsciiStrToUpper(
            absl::StrCat("0100007f:", absl::Hex(port, absl::kZeroPad4)));
    };
    std::ifstream lines("/proc/net/tcp");
    for (std::string line; std::getline(lines, line);)
    {
        const std::vector<std::string> columns =
            absl::StrSplit(line, ' ', absl::SkipEmpty());
        if (columns.size() > inode && columns[local] == address(from) &&
            columns[remote] == address(to))
        {
            return absl::StrCat("socket:[", columns[inode], "]");
        }
    }
    return {};
}

} // namespace

bool begins_request(absl::string_view bytes, absl::string_view id)
{
    const std::vector<absl::string_view> words =
        absl::StrSplit(bytes.substr(0, bytes.find("\r\n")), ' ');
    if (words.size() != 3 || !absl::StartsWith(words[2], "HTTP/"))
    {
        return false;
    }
    if (words[1] == platform::report_path || words[1] == platform::free_call_path)
    {
        return false;
    }
    const std::string named =
        absl::StrCat("\r\n", platform::expected_target_header, ": ");
    return !absl::StrContains(bytes, named) ||
           absl::StrContains(bytes, absl::StrCat(named, id, "\r\n"));
}

bool owns_connection(pid_t process, std::uint16_t from, std::uint16_t to)
{
    const std::string wanted = socket_name(from, to);
    std::error_code failure;
    std::filesystem::directory_iterator file(absl::StrCat("/proc/", process, "/fd"),
                                             failure);
    bool is_found = false;
    for (; !is_found && file != std::filesystem::directory_iterator();
         file.increment(failure))
    {
        std::error_code closed_meanwhile;
        const std::filesystem::path name =
            std::filesystem::read_symlink(file->path(), closed_meanwhile);
        is_found = !closed_meanwhile && name.string() == wanted;
    }
    return is_found;
}

} // namespace medlar::soak
