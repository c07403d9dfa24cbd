#include <medlar/detail/request/json_text.hpp>
#include <medlar/detail/request/stage_plan.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

bool is_done(const pipeline& definition,
             const std::vector<stage_progress>& progress,
             const std::string& name)
{
    for (std::size_t i = 0; i < definition.stages.size(); ++i)
    {
        if (definition.stages[i].name == name)
        {
            return progress[i] == stage_progress::done;
        }
    }
    return false;
}

void append_member(std::string& object, const std::string& name, const std::string& value)
{
    absl::StrAppend(&object, object.size() > 1 ? "," : "", quoted_json(name), ":", value);
}

} // namespace

std::vector<std::size_t> ready_stages(const pipeline& definition,
                                      const std::vector<stage_progress>& progress)
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < definition.stages.size(); ++i)
    {
        const std::vector<std::string>& after = definition.stages[i].after;
        const bool dependencies_done =
            std::all_of(after.begin(),
                        after.end(),
                        [&](const std::string& name)
                        {
                            return is_done(definition, progress, name);
                        });
        if (progress[i] == stage_progress::waiting && dependencies_done)
        {
            ready.push_back(i);
        }
    }
    return ready;
}

std::string stage_input(const stage& definition,
                        const client_request& request,
                        const stage_outputs& outputs)
{
    if (definition.after.empty())
    {
        return request.input;
    }
    std::string object = "{";
    for (const std::string& name : definition.after)
    {
        append_member(object, name, outputs.at(name));
    }
    return object + "}";
}

bool is_idempotent(const stage& definition, const client_request& request)
{
    return definition.idempotent.value_or(request.idempotent);
}

token_count token_limit(const stage& definition, const client_request& request)
{
    if (definition.max_tokens.get() == 0 || request.max_tokens.get() == 0)
    {
        return std::max(definition.max_tokens, request.max_tokens);
    }
    return std::min(definition.max_tokens, request.max_tokens);
}

std::string write_outputs(const stage_outputs& outputs)
{
    std::string object = "{";
    for (const auto& [name, value] : outputs)
    {
        append_member(object, name, value);
    }
    return object + "}";
}

} // namespace medlar
