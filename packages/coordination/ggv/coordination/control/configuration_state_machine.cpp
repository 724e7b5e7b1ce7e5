#include <ggv/coordination/control/configuration_state_machine.hpp>

#include <ggv/protocol/codec/change_codec.hpp>
#include <ggv/protocol/codec/configuration_state_codec.hpp>
#include <ggv/protocol/codec/register_codec.hpp>

#include <deque>
#include <unordered_map>

namespace ggv {

class ConfigurationStateMachine::Implementation
{
public:
    Implementation(ChangeHandler onChange, const ConfigurationLimits &limits)
        : m_onChange(std::move(onChange))
        , m_limits(limits)
        , m_current(std::make_shared<const Register>())
    { }

    ChangeAnswer answer(const ChangeCommand &command)
    {
        if (const auto it = m_answers.find(command.id); it != m_answers.end()) {
            if (it->second.digest == command.digest)
                return it->second.answer;
            return rejection(ResultCode::ChangeIdReused,
                             "change id was used for another change: " + command.id.text());
        }
        ChangeAnswer first = applyChange(command);
        retainAnswer({ command.id, command.digest, first });
        return first;
    }

    void retainAnswer(AnsweredChange change)
    {
        m_answerOrder.push_back(change.id);
        m_answers.emplace(change.id, std::move(change));
        if (m_answerOrder.size() <= m_limits.maxRetainedAnswers)
            return;
        m_answers.erase(m_answerOrder.front());
        m_answerOrder.pop_front();
    }

    ConfigurationState state() const
    {
        ConfigurationState state { encodeRegister(*m_current), {} };
        state.answered.reserve(m_answerOrder.size());
        for (const auto &id : m_answerOrder)
            state.answered.push_back(m_answers.at(id));
        return state;
    }

    void restore(ConfigurationState state)
    {
        m_current = std::make_shared<const Register>(decodeRegister(state.content));
        m_answers.clear();
        m_answerOrder.clear();
        for (auto &it : state.answered)
            retainAnswer(std::move(it));
        m_onChange(m_current, {});
    }

    ChangeHandler m_onChange;
    ConfigurationLimits m_limits;
    std::shared_ptr<const Register> m_current;

private:
    ChangeAnswer rejection(ResultCode code, std::string message) const
    {
        return { code, m_current->version(), std::move(message) };
    }

    ChangeAnswer applyChange(const ChangeCommand &command)
    {
        if (command.expected != m_current->version() || command.delta.empty())
            return rejection(ResultCode::VersionConflict,
                             "based on version " + std::to_string(command.expected)
                                 + ", current is " + std::to_string(m_current->version()));
        try {
            const auto delta = decodeDelta(command.delta);
            auto next = applyDelta(*m_current, delta).value();
            if (m_current->version() > 0)
                checkTransition(*m_current, next.content());
            m_current = std::make_shared<const Register>(std::move(next));
        } catch (const Error &error) {
            return rejection(error.code(), error.what());
        }
        m_onChange(m_current, command.delta);
        return { ResultCode::Ok, m_current->version(), {} };
    }

    std::unordered_map<ChangeId, AnsweredChange> m_answers;
    std::deque<ChangeId> m_answerOrder;
};

ConfigurationStateMachine::ConfigurationStateMachine(ChangeHandler onChange,
                                                     const ConfigurationLimits &limits)
    : m_implementation(std::make_unique<Implementation>(std::move(onChange), limits))
{ }

ConfigurationStateMachine::~ConfigurationStateMachine() = default;

Bytes ConfigurationStateMachine::apply(LogIndex, ByteView command)
{
    try {
        return encodeChangeAnswer(m_implementation->answer(decodeChangeCommand(command)));
    } catch (const Error &error) {
        return encodeChangeAnswer({ error.code(), current()->version(), error.what() });
    }
}

Bytes ConfigurationStateMachine::encode() const
{
    return encodeConfigurationState(m_implementation->state());
}

void ConfigurationStateMachine::restore(ByteView state)
{
    m_implementation->restore(decodeConfigurationState(state));
}

std::shared_ptr<const Register> ConfigurationStateMachine::current() const noexcept
{
    return m_implementation->m_current;
}

} // namespace ggv
