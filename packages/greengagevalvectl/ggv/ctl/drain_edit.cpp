#include <ggv/ctl/drain_edit.hpp>

#include <algorithm>

namespace ggv {

namespace {

bool removeDrain(RegisterContent &content, DrainScope scope, const std::string &name)
{
    auto &drains = content.drains.edit();
    const auto count = std::erase_if(
        drains, [&](const Drain &drain) { return drain.scope == scope && drain.name == name; });
    return count > 0;
}

} // namespace

std::optional<DrainScope> parseDrainScope(const std::string &text)
{
    if (text == "target")
        return DrainScope::Target;
    if (text == "failure-domain")
        return DrainScope::FailureDomain;
    if (text == "region")
        return DrainScope::Region;
    return std::nullopt;
}

RegisterContent withDrain(RegisterContent content, const Drain &drain)
{
    removeDrain(content, drain.scope, drain.name);
    content.drains.push_back(drain);
    return content;
}

Result<RegisterContent> withoutDrain(RegisterContent content, DrainScope scope,
                                     const std::string &name)
{
    if (!removeDrain(content, scope, name))
        return Error(ResultCode::UnknownEntity, "the register has no drain of " + name);
    return content;
}

} // namespace ggv
