#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/state/model/register.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace ggv {

//! Bounds of a configuration machine; the same on every member.
struct ConfigurationLimits
{
    std::size_t maxRetainedAnswers = 200'000; //!< Answers kept for resent changes.
};

/**
 * @brief Replicated register: accepts a change only on the version that it was based on.
 *
 * Commands are encoded ChangeCommands, answers encoded ChangeAnswers. A resent change gets its
 * first answer, also from a snapshot. One whose answer has been dropped cannot be accepted twice:
 * its expected version has passed.
 */
class ConfigurationStateMachine : public StateMachine
{
public:
    //! Called with each accepted register and, if it came by one change, the encoded delta.
    using ChangeHandler = std::function<void(std::shared_ptr<const Register>, ByteView delta)>;

    //! @param onChange Called after each change and after restore().
    explicit ConfigurationStateMachine(ChangeHandler onChange,
                                       const ConfigurationLimits &limits = {});
    ~ConfigurationStateMachine() override;

    Bytes apply(LogIndex index, ByteView command) override;
    [[nodiscard]] Bytes encode() const override;
    void restore(ByteView state) override;

    //! @return The newest accepted register.
    [[nodiscard]] std::shared_ptr<const Register> current() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
