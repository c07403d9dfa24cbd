#ifndef MEDLAR_TEST_RUNTIME_OPERATORS_DOCUMENTS_HPP
#define MEDLAR_TEST_RUNTIME_OPERATORS_DOCUMENTS_HPP

#include <medlar/detail/config/document.hpp>

#include <string>

namespace medlar::test
{

/// @brief Returns a valid document of one pool, with the targets t1 and t2, and one
/// pipeline and organisation.
inline document small_document(double weight = 1.0)
{
    document content;
    pool engines;
    engines.name = pool_id("engines");
    for (const char* name : {"t1", "t2"})
    {
        engines.targets.push_back(
            {target_id(name), "127.0.0.1", 7100, failure_domain_id("a"), false});
    }
    content.pools = {engines};
    pipeline post;
    post.name = pipeline_id("post");
    for (const char* name : {"read", "rank", "draft"})
    {
        stage added;
        added.name = name;
        added.pool = engines.name;
        post.stages.push_back(added);
    }
    content.pipelines = {post};
    content.organisations = {{organisation_id("caxias"), weight, "secret"}};
    return content;
}

} // namespace medlar::test

#endif // MEDLAR_TEST_RUNTIME_OPERATORS_DOCUMENTS_HPP
