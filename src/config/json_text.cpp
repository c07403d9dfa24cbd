#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json_text.hpp>

#include <absl/strings/str_cat.h>

#include <set>
#include <string>
#include <vector>

namespace medlar
{

namespace
{

using nlohmann::json;

/// @brief Watches a parse for nesting and for fields that stand twice in one object.
class structure_guard
{
  public:
    /// @return false once the text is to be refused
    bool see(int depth, json::parse_event_t event, const json& parsed)
    {
        too_deep_ = too_deep_ || depth >= max_document_depth;
        if (event == json::parse_event_t::object_start)
        {
            open_.emplace_back();
        }
        if (event == json::parse_event_t::object_end && !open_.empty())
        {
            open_.pop_back();
        }
        if (event == json::parse_event_t::key && !open_.empty() &&
            !open_.back().insert(parsed.get<std::string>()).second)
        {
            doubled_ = parsed.get<std::string>();
        }
        return !too_deep_;
    }

    absl::Status verdict() const
    {
        if (too_deep_)
        {
            return make_error(
                absl::StatusCode::kInvalidArgument,
                error_number::not_json,
                absl::StrCat("nested deeper than ", max_document_depth, " levels"));
        }
        if (!doubled_.empty())
        {
            return make_error(absl::StatusCode::kInvalidArgument,
                              error_number::duplicate_name,
                              absl::StrCat("field '", doubled_, "' stands twice"));
        }
        return absl::OkStatus();
    }

  private:
    std::vector<std::set<std::string>> open_;
    bool too_deep_ = false;
    std::string doubled_;
};

/// @brief the description in a parser's message, without the name of the library
std::string description_of(const json::exception& error)
{
    const std::string message = error.what();
    const std::size_t bracket = message.find("] ");
    return bracket == std::string::npos ? message : message.substr(bracket + 2);
}

} // namespace

absl::StatusOr<json> parse_json_text(absl::string_view text, std::size_t max_bytes)
{
    if (text.size() > max_bytes)
    {
        return make_error(
            absl::StatusCode::kInvalidArgument,
            error_number::document_too_large,
            absl::StrCat(text.size(), " bytes; at most ", max_bytes, " are taken"));
    }
    structure_guard guard;
    const auto see = [&guard](int depth, json::parse_event_t event, json& parsed)
    {
        return guard.see(depth, event, parsed);
    };
    try
    {
        json parsed = json::parse(text.begin(), text.end(), see);
        const absl::Status verdict = guard.verdict();
        if (!verdict.ok())
        {
            return verdict;
        }
        return parsed;
    }
    catch (const json::exception& error)
    {
        const absl::Status verdict = guard.verdict();
        return verdict.ok() ? make_error(absl::StatusCode::kInvalidArgument,
                                         error_number::not_json,
                                         description_of(error))
                            : verdict;
    }
}

} // namespace medlar
