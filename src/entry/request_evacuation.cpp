// Part of request_run: refuses a request whose targets are all evacuated.

#include <medlar/detail/entry/request_run.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace medlar
{

bool request_run::refuse_if_evacuated()
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
    if (evacuated == needed.end())
    {
        return false;
    }
    refuse(std::max(retry_after_no_target, context_.time_until_callable(*evacuated)),
           absl::StrCat("all targets of pool \"", evacuated->get(), "\" are evacuated"));
    return true;
}

} // namespace medlar
