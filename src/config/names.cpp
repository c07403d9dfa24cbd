#include <medlar/detail/config/names.hpp>

#include <absl/strings/str_cat.h>

#include <array>

namespace medlar
{

namespace
{

template <typename Enum>
struct named_value
{
    Enum value;
    absl::string_view name;
};

template <typename Enum>
struct name_table;

template <>
struct name_table<stage_kind>
{
    static constexpr std::array<named_value<stage_kind>, 5> rows{{
        {stage_kind::encode, "encode"},
        {stage_kind::retrieve, "retrieve"},
        {stage_kind::rerank, "rerank"},
        {stage_kind::generate, "generate"},
        {stage_kind::call, "call"},
    }};
};

template <>
struct name_table<objective_kind>
{
    static constexpr std::array<named_value<objective_kind>, 2> rows{{
        {objective_kind::attainment, "attainment"},
        {objective_kind::cost, "cost"},
    }};
};

template <>
struct name_table<routing_policy>
{
    static constexpr std::array<named_value<routing_policy>, 2> rows{{
        {routing_policy::adaptive, "adaptive"},
        {routing_policy::round_robin, "round_robin"},
    }};
};

template <>
struct name_table<admission_policy>
{
    static constexpr std::array<named_value<admission_policy>, 2> rows{{
        {admission_policy::estimate, "estimate"},
        {admission_policy::none, "none"},
    }};
};

template <>
struct name_table<retry_policy>
{
    static constexpr std::array<named_value<retry_policy>, 3> rows{{
        {retry_policy::budgeted, "budgeted"},
        {retry_policy::blind, "blind"},
        {retry_policy::never, "never"},
    }};
};

template <typename Enum>
absl::string_view name_of(Enum value)
{
    for (const named_value<Enum>& row : name_table<Enum>::rows)
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return "";
}

} // namespace

absl::string_view to_string(stage_kind kind)
{
    return name_of(kind);
}

absl::string_view to_string(objective_kind kind)
{
    return name_of(kind);
}

absl::string_view to_string(routing_policy policy)
{
    return name_of(policy);
}

absl::string_view to_string(admission_policy policy)
{
    return name_of(policy);
}

absl::string_view to_string(retry_policy policy)
{
    return name_of(policy);
}

template <typename Enum>
std::optional<Enum> enum_from_name(absl::string_view name)
{
    for (const named_value<Enum>& row : name_table<Enum>::rows)
    {
        if (row.name == name)
        {
            return row.value;
        }
    }
    return std::nullopt;
}

template <typename Enum>
std::string enum_names()
{
    std::string all;
    for (const named_value<Enum>& row : name_table<Enum>::rows)
    {
        absl::StrAppend(&all, all.empty() ? "" : ", ", row.name);
    }
    return all;
}

template std::optional<stage_kind> enum_from_name<stage_kind>(absl::string_view);
template std::optional<objective_kind> enum_from_name<objective_kind>(absl::string_view);
template std::optional<routing_policy> enum_from_name<routing_policy>(absl::string_view);
template std::optional<admission_policy>
    enum_from_name<admission_policy>(absl::string_view);
template std::optional<retry_policy> enum_from_name<retry_policy>(absl::string_view);

template std::string enum_names<stage_kind>();
template std::string enum_names<objective_kind>();
template std::string enum_names<routing_policy>();
template std::string enum_names<admission_policy>();
template std::string enum_names<retry_policy>();

} // namespace medlar
