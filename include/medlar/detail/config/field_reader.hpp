#ifndef MEDLAR_DETAIL_CONFIG_FIELD_READER_HPP
#define MEDLAR_DETAIL_CONFIG_FIELD_READER_HPP

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/names.hpp>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Reads the fields of a JSON object by name and keeps the first error.
///
/// After an error the getters return fallback values, so that callers can read
/// all fields and check for errors once with finish().
class field_reader
{
  public:
    /// @param path path of the object in its document; empty: the root
    field_reader(const nlohmann::json& object, std::string path);

    // required fields: error 502 if missing

    std::string text(const char* name);
    std::int64_t integer(const char* name, std::int64_t low, std::int64_t high);

    // optional fields

    std::string text_or(const char* name, const std::string& fallback);
    std::int64_t integer_or(const char* name,
                            std::int64_t fallback,
                            std::int64_t low,
                            std::int64_t high);
    double number_or(const char* name, double fallback);
    bool boolean_or(const char* name, bool fallback);
    std::optional<bool> optional_boolean(const char* name);
    std::vector<std::string> strings_or_empty(const char* name);

    /// @brief Returns the value of a field, or nullptr if it is missing.
    const nlohmann::json* value(const char* name);

    /// @brief Reads an optional enumerator by its name.
    /// @param number error number for an unknown name
    template <typename Enum>
    Enum enumerator_or(const char* name, Enum fallback, error_number number)
    {
        const std::string value_name = text_or(name, std::string(to_string(fallback)));
        const std::optional<Enum> found = enum_from_name<Enum>(value_name);
        if (!found)
        {
            fail(number,
                 name,
                 absl::StrCat("'", value_name, "' is none of ", enum_names<Enum>()));
        }
        return found.value_or(fallback);
    }

    /// @brief Reads each element of an optional array field.
    /// @param read converts (element, path) to a StatusOr<Item>
    template <typename Item, typename Read>
    std::vector<Item> items(const char* name, Read read)
    {
        std::vector<Item> all;
        const nlohmann::json* elements = array(name);
        for (std::size_t at = 0; elements != nullptr && at < elements->size(); ++at)
        {
            auto one = read((*elements)[at], absl::StrCat(path_of(name), "[", at, "]"));
            if (!one.ok())
            {
                record_error(one.status());
                break;
            }
            all.push_back(*std::move(one));
        }
        return all;
    }

    /// @brief Returns the path of a field in the document.
    std::string path_of(const std::string& name) const;

    /// @brief Records an error, unless there is an earlier one.
    void fail(error_number number, const std::string& name, absl::string_view message);

    /// @return the first error, or OK
    const absl::Status& error() const
    {
        return first_error_;
    }

    /// @return the first error, else error 510 if the object has a field that was never
    ///     read
    absl::Status finish();

  private:
    const nlohmann::json* array(const char* name);
    const nlohmann::json* required(const char* name);
    void record_error(const absl::Status& error);
    std::string text_of(const char* name, const nlohmann::json* found);
    std::int64_t integer_of(const char* name,
                            const nlohmann::json* found,
                            std::int64_t low,
                            std::int64_t high);

    const nlohmann::json& object_;
    std::string path_;
    std::set<std::string> read_names_;
    absl::Status first_error_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_FIELD_READER_HPP
