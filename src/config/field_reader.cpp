#include <medlar/detail/config/field_reader.hpp>

#include <utility>

namespace medlar
{

using nlohmann::json;

field_reader::field_reader(const json& object, std::string path)
    : object_(object), path_(std::move(path))
{
    if (!object_.is_object())
    {
        fail(error_number::wrong_type, "", "is not an object");
    }
}

std::string field_reader::text(const char* name)
{
    return text_of(name, required(name));
}

std::int64_t field_reader::integer(const char* name, std::int64_t low, std::int64_t high)
{
    return integer_of(name, required(name), low, high);
}

std::string field_reader::text_or(const char* name, const std::string& fallback)
{
    const json* found = value(name);
    return found == nullptr ? fallback : text_of(name, found);
}

std::int64_t field_reader::integer_or(const char* name,
                                      std::int64_t fallback,
                                      std::int64_t low,
                                      std::int64_t high)
{
    const json* found = value(name);
    return found == nullptr ? fallback : integer_of(name, found, low, high);
}

double field_reader::number_or(const char* name, double fallback)
{
    const json* found = value(name);
    if (found == nullptr)
    {
        return fallback;
    }
    if (!found->is_number())
    {
        fail(error_number::wrong_type, name, "is not a number");
        return fallback;
    }
    return found->get<double>();
}

bool field_reader::boolean_or(const char* name, bool fallback)
{
    return optional_boolean(name).value_or(fallback);
}

std::optional<bool> field_reader::optional_boolean(const char* name)
{
    const json* found = value(name);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    if (!found->is_boolean())
    {
        fail(error_number::wrong_type, name, "is not true or false");
        return std::nullopt;
    }
    return found->get<bool>();
}

std::vector<std::string> field_reader::strings_or_empty(const char* name)
{
    std::vector<std::string> all;
    const json* elements = array(name);
    for (std::size_t at = 0; elements != nullptr && at < elements->size(); ++at)
    {
        const json& element = (*elements)[at];
        if (!element.is_string())
        {
            fail(error_number::wrong_type,
                 absl::StrCat(name, "[", at, "]"),
                 "is not a text");
            break;
        }
        all.push_back(element.get<std::string>());
    }
    return all;
}

const json* field_reader::value(const char* name)
{
    read_names_.insert(name);
    if (!object_.is_object())
    {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

std::string field_reader::path_of(const std::string& name) const
{
    if (path_.empty() || name.empty())
    {
        return path_ + name;
    }
    return absl::StrCat(path_, ".", name);
}

void field_reader::fail(error_number number,
                        const std::string& name,
                        absl::string_view message)
{
    const std::string full_path = path_of(name);
    record_error(make_error(
        absl::StatusCode::kInvalidArgument,
        number,
        absl::StrCat(full_path.empty() ? "the document" : full_path, ": ", message)));
}

absl::Status field_reader::finish()
{
    if (object_.is_object())
    {
        for (const auto& [name, unused] : object_.items())
        {
            if (read_names_.count(name) == 0)
            {
                fail(error_number::unknown_field, name, "no such field");
            }
        }
    }
    return first_error_;
}

const json* field_reader::array(const char* name)
{
    const json* found = value(name);
    if (found != nullptr && !found->is_array())
    {
        fail(error_number::wrong_type, name, "is not an array");
        return nullptr;
    }
    return found;
}

const json* field_reader::required(const char* name)
{
    const json* found = value(name);
    if (found == nullptr)
    {
        fail(error_number::missing_field, name, "is missing");
    }
    return found;
}

void field_reader::record_error(const absl::Status& error)
{
    if (first_error_.ok())
    {
        first_error_ = error;
    }
}

std::string field_reader::text_of(const char* name, const json* found)
{
    if (found == nullptr)
    {
        return "";
    }
    if (!found->is_string())
    {
        fail(error_number::wrong_type, name, "is not a text");
        return "";
    }
    return found->get<std::string>();
}

std::int64_t field_reader::integer_of(const char* name,
                                      const json* found,
                                      std::int64_t low,
                                      std::int64_t high)
{
    if (found == nullptr)
    {
        return low;
    }
    if (!found->is_number_integer())
    {
        fail(error_number::wrong_type, name, "is not an integer");
        return low;
    }
    const bool exceeds_int64 =
        found->is_number_unsigned() &&
        found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const std::int64_t parsed = exceeds_int64 ? INT64_MAX : found->get<std::int64_t>();
    if (exceeds_int64 || parsed < low || parsed > high)
    {
        fail(error_number::out_of_range,
             name,
             absl::StrCat(found->dump(), " is not from ", low, " to ", high));
        return low;
    }
    return parsed;
}

} // namespace medlar
