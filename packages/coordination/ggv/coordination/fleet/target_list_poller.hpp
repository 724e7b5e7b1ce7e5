#pragma once

#include <ggv/coordination/fleet/shared_target_list.hpp>
#include <ggv/coordination/fleet/target_list_reader.hpp>
#include <ggv/state/core/random_source.hpp>

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace ggv {

/**
 * @brief Reads the platform's target list periodically on the leader. Another control host reads it
 * only if it obtains no newer list for some time. Runs on one event loop.
 */
class TargetListPoller
{
public:
    struct Handlers
    {
        std::function<bool()> isLeader;
        std::function<void()> onRead; //!< Called after each successful reading.
    };

    /**
     * @brief Starts polling, until the event loop ends.
     * @param context Event loop.
     * @param reader Source of the list; must outlive the event loop's run.
     * @param list List that readings replace.
     * @param handlers Callbacks, run on the event loop.
     */
    [[nodiscard]] static std::shared_ptr<TargetListPoller>
    start(boost::asio::io_context &context, TargetListReader &reader,
          std::shared_ptr<SharedTargetList> list, Handlers handlers);

    //! @return Duration of the last successful reading.
    [[nodiscard]] Duration lastReadTime() const noexcept { return m_lastReadTime; }

private:
    TargetListPoller(TargetListReader &reader, std::shared_ptr<SharedTargetList> list,
                     Handlers handlers);

    [[nodiscard]] boost::asio::awaitable<void> run(boost::asio::io_context &context);
    [[nodiscard]] boost::asio::awaitable<void> readList();
    [[nodiscard]] bool isReadDue(Instant now);
    void setReadable(bool readable, const char *reason);

    TargetListReader &m_reader;
    std::shared_ptr<SharedTargetList> m_list;
    Handlers m_handlers;
    RandomSource m_random;
    Instant m_lastReadAt = Instant(Duration(0));
    Duration m_lastReadTime { 0 };
    bool m_isReadable = true;
};

} // namespace ggv
