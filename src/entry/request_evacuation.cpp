// Part of request_run: refuses a request that no target can serve.

#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace medlar
{

std::optional<request_run::refusal> request_run::refusal_of_work() const
{
    std::vector<pool_id> needed{pool_};
    for (std::size_t i = 0; i < route_.stages.size(); ++i)
    {
        if (i < fields_.pieces.size() && fields_.pieces[i] > 0)
        {
            needed.push_back(route_.stages[i].pool);
        }
    }
    const auto evacuated = std::find_if(needed.begin(),
                                        needed.end(),
                                        [this](const pool_id& each)
                                        {
                                            return context_.targets.is_evacuated(each);
                                        });
    if (evacuated != needed.end())
    {
        return refusal{
            status_unavailable,
            std::max(retry_after_no_target, context_.time_until_callable(*evacuated)),
            absl::StrCat("all targets of pool \"", evacuated->get(), "\" are evacuated")};
    }
    if (!has_target_of_origin())
    {
        return refusal{status_unavailable,
                       retry_after_no_target,
                       absl::StrCat("no target has version \"",
                                    origin_->version.get(),
                                    "\", which began the stream")};
    }
    return std::nullopt;
}

} // namespace medlar
