#include <ggv/ctl/register_difference.hpp>

#include <ggv/state/model/register_delta.hpp>

#include <array>
#include <set>

namespace ggv {

namespace {

class DifferenceCollector
{
public:
    template <typename Entity>
    void add(const char *entity, const std::vector<Entity> &before,
             const EntityDelta<Entity> &delta)
    {
        std::set<std::string> known;
        for (const auto &it : before)
            known.insert(entityKey(it));
        for (const auto &it : delta.put) {
            const std::string key = entityKey(it);
            const bool changed = known.contains(key);
            m_differences.push_back(
                { changed ? DifferenceKind::Changed : DifferenceKind::Added, entity, key });
        }
        for (const auto &key : delta.remove)
            m_differences.push_back({ DifferenceKind::Removed, entity, key });
    }

    void addListUrl(const std::string &before, const std::string &after)
    {
        if (before == after)
            return;
        const auto kind = before.empty() ? DifferenceKind::Added
            : after.empty()              ? DifferenceKind::Removed
                                         : DifferenceKind::Changed;
        m_differences.push_back({ kind, "platform", "list_url" });
    }

    std::vector<Difference> take() { return std::move(m_differences); }

private:
    std::vector<Difference> m_differences;
};

} // namespace

const char *differenceName(DifferenceKind kind) noexcept
{
    constexpr std::array<const char *, 3> Names { "added", "changed", "removed" };
    return Names.at(static_cast<std::size_t>(kind));
}

std::vector<Difference> listDifferences(const Register &from, const Register &to)
{
    const RegisterDelta delta = diffRegisters(from, to);
    const RegisterContent &before = from.content();
    DifferenceCollector collector;
    collector.add("control voter", before.controlVoters, delta.controlVoters);
    collector.addListUrl(before.platformListUrl, delta.platformListUrl);
    collector.add("region", before.regions.items(), delta.regions);
    collector.add("failure_domain", before.domains.items(), delta.domains);
    collector.add("entry_host", before.hosts.items(), delta.hosts);
    collector.add("claim_group", before.claimGroups.items(), delta.claimGroups);
    collector.add("service", before.services.items(), delta.services);
    collector.add("target", before.targets.items(), delta.targets);
    collector.add("link", before.links.items(), delta.links);
    collector.add("client_block", before.clientBlocks.items(), delta.clientBlocks);
    collector.add("shift_cap", before.shiftCaps.items(), delta.shiftCaps);
    collector.add("drain", before.drains.items(), delta.drains);
    return collector.take();
}

} // namespace ggv
