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

/// @brief Checks the nesting depth and detects duplicate fields during a parse.
class structure_checker
{
  public:
    /// @return false if the text is nested too deeply
    bool on_event(int depth, json::parse_event_t event, const json& parsed)
    {
        too_deep_ = too_deep_ || depth >= max_document_depth;
        if (event == json::parse_event_t::object_start)
        {
            open_object_fields_.emplace_back();
        }
        if (event == json::parse_event_t::object_end && !open_object_fields_.empty())
        {
            open_object_fields_.pop_back();
        }
        if (event == json::parse_event_t::key && !open_object_fields_.empty() &&
            !open_object_fields_.back().insert(parsed.get<std::string>()).second)
        {
            duplicate_field_ = parsed.get<std::string>();
        }
        return !too_deep_;
    }

    absl::Status result() const
    {
        if (too_deep_)
        {
            return make_error(
                absl::StatusCode::kInvalidArgument,
                error_number::not_json,
                absl::StrCat("nested deeper than ", max_document_depth, " levels"));
        }
        if (!duplicate_field_.empty())
        {
            return make_error(
                absl::StatusCode::kInvalidArgument,
                error_number::duplicate_name,
                absl::StrCat("field '", duplicate_field_, "' stands twice"));
        }
        return absl::OkStatus();
    }

  private:
    std::vector<std::set<std::string>> open_object_fields_;
    bool too_deep_ = false;
    std::string duplicate_field_;
};

/// @brief Returns the description in a parser error, without the exception id prefix.
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
    structure_checker checker;
    const auto on_event = [&checker](int depth, json::parse_event_t event, json& parsed)
    {
        return checker.on_event(depth, event, parsed);
    };
    try
    {
        json parsed = json::parse(text.begin(), text.end(), on_event);
        const absl::Status structure = checker.result();
        if (!structure.ok())
        {
            return structure;
        }
        return parsed;
    }
    catch (const json::exception& error)
    {
        const absl::Status structure = checker.result();
        return structure.ok() ? make_error(absl::StatusCode::kInvalidArgument,
                                           error_number::not_json,
                                           description_of(error))
                              : structure;
    }
}

} // namespace medlar
