#include <medlar/detail/config/document.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

template <typename Item, typename Name>
const Item* find_by_name(const std::vector<Item>& items, const Name& name)
{
    const auto found = std::find_if(items.begin(),
                                    items.end(),
                                    [&name](const Item& item)
                                    {
                                        return item.name == name;
                                    });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const pool* document::find_pool(const pool_id& name) const
{
    return find_by_name(pools, name);
}

const pipeline* document::find_pipeline(const pipeline_id& name) const
{
    return find_by_name(pipelines, name);
}

const organisation* document::find_organisation(const organisation_id& name) const
{
    return find_by_name(organisations, name);
}

} // namespace medlar
