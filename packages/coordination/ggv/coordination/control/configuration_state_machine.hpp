#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/state/model/register.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace ggv {

//! Limits of a configuration machine; must be the same on every member.
struct ConfigurationLimits
{
    std::size_t maxRetainedAnswers = 200'000; //!< Answers retained for resent changes.
};

/**
 * @brief State machine of the register with optimistic concurrency control: a change is accepted
 * only if its expected version is the current one.
 *
 * Commands are encoded ChangeCommands, replies are encoded ChangeAnswers. A resent change gets its
 * first answer, also after a restore from a snapshot. A change whose answer has been evicted cannot
 * be accepted twice, because its expected version is outdated.
 */
class ConfigurationStateMachine : public StateMachine
{
public:
    //! Called with each new register and the encoded delta, which is empty after a restore.
    using ChangeHandler = std::function<void(std::shared_ptr<const Register>, ByteView delta)>;

    /**
     * @brief Creates the machine with an empty register.
     * @param onChange Called after each accepted change and after restore().
     * @param limits Limits of the retained state.
     */
    explicit ConfigurationStateMachine(ChangeHandler onChange,
                                       const ConfigurationLimits &limits = {});
    ~ConfigurationStateMachine() override;

    Bytes apply(LogIndex index, ByteView command) override;
    [[nodiscard]] Bytes encode() const override;
    void restore(ByteView state) override;

    //! Returns the newest accepted register.
    [[nodiscard]] std::shared_ptr<const Register> current() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
