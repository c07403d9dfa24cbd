#include <medlar/detail/request/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

/// @brief Properties of a UTF-8 sequence, given by its first byte.
struct sequence_form
{
    std::size_t length = 0;
    std::uint32_t first_bits = 0;
    std::uint32_t min_value = 0;
};

sequence_form sequence_form_of(unsigned char first)
{
    if (first < 0x80U)
    {
        return {1, first, 0};
    }
    if ((first & 0xe0U) == 0xc0U)
    {
        return {2, first & 0x1fU, 0x80};
    }
    if ((first & 0xf0U) == 0xe0U)
    {
        return {3, first & 0x0fU, 0x800};
    }
    if ((first & 0xf8U) == 0xf0U)
    {
        return {4, first & 0x07U, 0x10000};
    }
    return {};
}

bool is_code_point(std::uint32_t value)
{
    constexpr std::uint32_t max_value = 0x10ffff;
    const bool surrogate = value >= 0xd800 && value <= 0xdfff;
    return value <= max_value && !surrogate;
}

} // namespace

bool is_utf8(absl::string_view text)
{
    std::size_t position = 0;
    while (position < text.size())
    {
        const sequence_form form =
            sequence_form_of(static_cast<unsigned char>(text[position]));
        if (form.length == 0 || position + form.length > text.size())
        {
            return false;
        }
        std::uint32_t value = form.first_bits;
        for (std::size_t i = 1; i < form.length; ++i)
        {
            const auto next = static_cast<unsigned char>(text[position + i]);
            if ((next & 0xc0U) != 0x80U)
            {
                return false;
            }
            value = (value << 6U) | (next & 0x3fU);
        }
        if (value < form.min_value || !is_code_point(value))
        {
            return false;
        }
        position += form.length;
    }
    return true;
}

int nesting_depth(absl::string_view text)
{
    int depth = 0;
    int max_depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char character = text[i];
        if (in_string)
        {
            i += character == '\\' ? 1 : 0;
            in_string = character != '"';
            continue;
        }
        in_string = character == '"';
        if (character == '{' || character == '[')
        {
            max_depth = std::max(max_depth, ++depth);
        }
        else if (character == '}' || character == ']')
        {
            --depth;
        }
    }
    return max_depth;
}

std::string quoted_json(absl::string_view text)
{
    const nlohmann::json value = std::string(text);
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace medlar
