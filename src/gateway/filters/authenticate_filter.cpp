#include <medlar/detail/gateway/authentication.hpp>
#include <medlar/detail/gateway/filters/authenticate_filter.hpp>

namespace medlar
{

std::unique_ptr<filter> authenticate_filter::create()
{
    return std::unique_ptr<filter>(new authenticate_filter());
}

run_result authenticate_filter::apply(request_context& context, const next_filter& next)
{
    const document& content = context.configuration->content;
    const organisation* caller_organisation =
        content.find_organisation(context.request.key.organisation);
    if (!is_authentic(*caller_organisation, context.authorization))
    {
        return refuse_before_placement(
            context.request,
            reason::unauthenticated,
            "the Authorization header has not the organisation's key",
            std::nullopt);
    }
    return next(context);
}

} // namespace medlar
