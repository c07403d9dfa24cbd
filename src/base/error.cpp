#include <medlar/detail/base/error.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <cstdlib>

namespace medlar
{

namespace
{

constexpr absl::string_view prefix = "[medlar.";

} // namespace

absl::Status
make_error(absl::StatusCode code, error_number number, absl::string_view message)
{
    return {code, absl::StrCat(prefix, static_cast<int>(number), "] ", message)};
}

int error_number_of(const absl::Status& status)
{
    const std::string message(status.message());
    if (!absl::StartsWith(message, prefix))
    {
        return 0;
    }
    return static_cast<int>(std::strtol(message.c_str() + prefix.size(), nullptr, 10));
}

} // namespace medlar
