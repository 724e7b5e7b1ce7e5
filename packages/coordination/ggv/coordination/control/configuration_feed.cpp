#include <ggv/coordination/control/configuration_feed.hpp>

#include <ggv/protocol/codec/register_codec.hpp>

#include <algorithm>

namespace ggv {

ConfigurationFeed::ConfigurationFeed()
    : m_newest(std::make_shared<const Register>())
{ }

bool ConfigurationFeed::accept(std::shared_ptr<const Register> content, ByteView delta)
{
    if (content->version() <= m_newest->version())
        return false;
    if (delta.empty() || content->version() != m_newest->version() + 1) {
        m_deltas.clear();
        m_retainedBytes = 0;
    }
    if (!delta.empty())
        retain(content->version(), delta);
    m_newest = std::move(content);
    return true;
}

void ConfigurationFeed::retain(RegisterVersion to, ByteView delta)
{
    m_retainedBytes += delta.size();
    m_deltas.push_back({ to, Bytes(delta.begin(), delta.end()) });
    while (m_deltas.size() > MaxRetainedDeltas || m_retainedBytes > MaxRetainedBytes) {
        m_retainedBytes -= m_deltas.front().delta.size();
        m_deltas.pop_front();
    }
}

bool ConfigurationFeed::accept(const ConfigurationUpdate &update)
{
    if (update.to <= m_newest->version())
        return false;
    if (update.from == 0) {
        auto complete = std::make_shared<const Register>(decodeRegister(update.content));
        return accept(std::move(complete), {});
    }
    if (update.from != m_newest->version())
        return false;
    const auto delta = decodeDelta(update.content);
    auto next = std::make_shared<const Register>(applyDelta(*m_newest, delta).value());
    // A merged delta is not retained: downstream hosts may be at a version within its range.
    const bool single = update.to == update.from + 1;
    return accept(std::move(next), single ? ByteView(update.content) : ByteView());
}

void ConfigurationFeed::confirm(RegisterVersion version)
{
    m_confirmed = std::max(m_confirmed.value_or(0), version);
}

const std::shared_ptr<const Register> &ConfigurationFeed::newest() const noexcept
{
    return m_newest;
}

std::shared_ptr<const Register> ConfigurationFeed::inForce() const noexcept
{
    const bool confirmed = m_confirmed && m_newest->version() >= *m_confirmed;
    return confirmed && m_newest->version() > 0 ? m_newest : nullptr;
}

std::optional<Bytes> ConfigurationFeed::mergedDelta(RegisterVersion from) const
{
    const auto first = std::find_if(m_deltas.begin(), m_deltas.end(),
                                    [from](const RetainedDelta &it) { return it.to == from + 1; });
    if (from == 0 || first == m_deltas.end())
        return std::nullopt;
    if (std::next(first) == m_deltas.end())
        return first->delta;
    std::vector<RegisterDelta> deltas;
    for (auto it = first; it != m_deltas.end(); ++it)
        deltas.push_back(decodeDelta(it->delta));
    return encodeDelta(mergeDeltas(deltas));
}

std::optional<ConfigurationUpdate> ConfigurationFeed::updateFor(RegisterVersion version) const
{
    if (version >= m_newest->version())
        return std::nullopt;
    if (auto delta = mergedDelta(version))
        return ConfigurationUpdate { version, m_newest->version(), std::move(*delta) };
    return ConfigurationUpdate { 0, m_newest->version(), encodeRegister(*m_newest) };
}

} // namespace ggv
