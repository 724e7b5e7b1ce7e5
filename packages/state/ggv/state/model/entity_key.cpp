#include <ggv/state/model/entity_key.hpp>

#include <ggv/state/model/register_delta.hpp>

namespace ggv {

namespace detail {

namespace {

std::string join(const std::string &one, const std::string &other)
{
    return one + KeySeparator + other;
}

} // namespace

std::string keyText(const Link &link)
{
    const auto &[low, high] = std::minmax(link.first, link.second);
    return join(low.text(), high.text());
}

std::string keyText(const ShiftCap &cap)
{
    return join(join(cap.service.text(), cap.from.text()), cap.to.text());
}

std::string keyText(const Drain &drain)
{
    return join(std::string(drainScopeName(drain.scope)), drain.name);
}

std::string_view drainScopeName(DrainScope scope) noexcept
{
    switch (scope) {
    case DrainScope::Target:
        return "target";
    case DrainScope::FailureDomain:
        return "failure_domain";
    case DrainScope::Region:
        return "region";
    }
    return "unlisted";
}

} // namespace detail

std::string entityKey(const Region &region) { return detail::keyText(region); }
std::string entityKey(const FailureDomain &domain) { return detail::keyText(domain); }
std::string entityKey(const EntryHost &host) { return detail::keyText(host); }
std::string entityKey(const HostName &host) { return detail::keyText(host); }
std::string entityKey(const ClaimGroup &group) { return detail::keyText(group); }
std::string entityKey(const Service &service) { return detail::keyText(service); }
std::string entityKey(const Target &target) { return detail::keyText(target); }
std::string entityKey(const Link &link) { return detail::keyText(link); }
std::string entityKey(const ClientBlock &block) { return detail::keyText(block); }
std::string entityKey(const ShiftCap &cap) { return detail::keyText(cap); }
std::string entityKey(const Drain &drain) { return detail::keyText(drain); }

} // namespace ggv
