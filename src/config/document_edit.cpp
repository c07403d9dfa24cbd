#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/document_edit.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

struct summary_visitor
{
    std::string operator()(const replace_content& /*edit*/) const
    {
        return "apply";
    }

    std::string operator()(const restore_revision& edit) const
    {
        return absl::StrCat("rollback to revision ", edit.number.get());
    }

    std::string operator()(const set_drained& edit) const
    {
        return absl::StrCat(
            edit.drained ? "drain" : "undrain", " target ", edit.target.get());
    }
};

} // namespace

std::string summary_of(const document_edit& edit)
{
    return std::visit(summary_visitor{}, edit);
}

bool is_independent_of_base(const document_edit& edit)
{
    return std::holds_alternative<set_drained>(edit);
}

absl::Status apply_drain(const set_drained& edit, document& content)
{
    for (pool& each : content.pools)
    {
        for (target& candidate : each.targets)
        {
            if (candidate.name == edit.target)
            {
                candidate.drained = edit.drained;
                return absl::OkStatus();
            }
        }
    }
    return make_error(absl::StatusCode::kNotFound,
                      error_number::no_such_object,
                      absl::StrCat("there is no target '", edit.target.get(), "'"));
}

} // namespace medlar
