#include "change_commands.hpp"

#include <consensus/history.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using namespace ggv::test;

// Which change made each version, as any member has ever shown it.
class VersionHistory
{
public:
    void check(const Register &content)
    {
        const std::string &mark = content.content().platformListUrl;
        const auto it = m_marks.emplace(content.version(), mark).first;
        require(it->second == mark, "members disagree about a version of the register");
    }

    void checkAccepted(RegisterVersion version, const std::string &mark) const
    {
        require(m_marks.at(version) == mark, "an accepted change is not in its version");
    }

private:
    std::map<RegisterVersion, std::string> m_marks;
};

// Keeps the register beside the list of commands.
class RegisterMachine : public ListStateMachine
{
public:
    RegisterMachine(SharedHistory &history, VersionHistory &versions)
        : ListStateMachine(history)
        , m_inner([&versions](const auto &content, ByteView) { versions.check(*content); })
    { }

    Bytes apply(LogIndex index, ByteView command) override
    {
        Bytes answer = ListStateMachine::apply(index, command);
        const Bytes inner = m_inner.apply(index, command.subspan(sizeof(std::uint64_t)));
        answer.insert(answer.end(), inner.begin(), inner.end());
        return answer;
    }

    [[nodiscard]] Bytes encode() const override
    {
        const Bytes list = ListStateMachine::encode();
        Bytes state = encodeNumber(list.size());
        state.insert(state.end(), list.begin(), list.end());
        const Bytes inner = m_inner.encode();
        state.insert(state.end(), inner.begin(), inner.end());
        return state;
    }

    void restore(ByteView state) override
    {
        const auto size = decodeNumber(state);
        state = state.subspan(sizeof(std::uint64_t));
        ListStateMachine::restore(state.first(size));
        m_inner.restore(state.subspan(size));
    }

    [[nodiscard]] RegisterVersion version() const { return m_inner.current()->version(); }

private:
    ConfigurationStateMachine m_inner;
};

// Operators who race with equal versions and resend changes whose answers they have or have lost.
class OperatorHistory : public History
{
public:
    OperatorHistory(const HistoryShape &shape, std::uint64_t seed)
        : History(shape, seed, Cluster::MachineFactory([this](SharedHistory &history) {
                      return std::make_unique<RegisterMachine>(history, m_versions);
                  }))
    {
        m_changes.push_back(firstChange());
        cluster().onAnswer = [this](std::uint64_t command, ByteView answer) {
            if (const auto it = m_sent.find(command); it != m_sent.end())
                answered(it->second, decodeChangeAnswer(answer));
        };
    }

    //! @return Number of changes that were accepted.
    std::size_t finish(int events)
    {
        runEvents(events);
        for (std::size_t change = 0; change < m_changes.size(); ++change)
            resend(change);
        for (const auto &[version, change] : m_winners) {
            if (change > 0)
                m_versions.checkAccepted(version, markerUrl(m_changes[change].id.text()));
        }
        return m_winners.size();
    }

private:
    void request() override
    {
        Member *leader = cluster().leader();
        Member &host = leader != nullptr && randomBelow(4) != 0 ? *leader : anyMember();
        if (!host.isUp())
            return;
        const RegisterVersion seen = static_cast<RegisterMachine &>(*host.machine).version();
        for (auto i = randomBelow(3); i > 0 && seen > 0; --i)
            m_changes.push_back(markerChange("c" + std::to_string(m_changes.size()), seen));
        for (auto i = randomBelow(4); i > 0; --i)
            send(host,
                 m_changes.size() - 1 - randomBelow(std::min<std::size_t>(m_changes.size(), 8)));
    }

    void send(Member &host, std::size_t change)
    {
        m_sent[cluster().propose(host, encodeChangeCommand(m_changes[change]))] = change;
    }

    // After the cluster is healed, every change gets an answer.
    void resend(std::size_t change)
    {
        const auto before = cluster().accepted();
        const auto isAnswered = [&] {
            if (cluster().accepted() > before)
                return true;
            if (cluster().pending() == 0 && cluster().leader() != nullptr)
                send(*cluster().leader(), change);
            return false;
        };
        require(cluster().runUntil(isAnswered), "liveness: a resent change gets no answer");
    }

    void answered(std::size_t change, const ChangeAnswer &answer)
    {
        const auto first = m_answers.emplace(change, answer).first;
        require(first->second == answer, "a resent change gets another answer");
        if (answer.code != ResultCode::Ok)
            return;
        const auto winner = m_winners.emplace(answer.version, change).first;
        require(winner->second == change, "two changes win the same version");
        require(answer.version == m_changes[change].expected + 1, "a change skips a version");
    }

    VersionHistory m_versions;
    std::vector<ChangeCommand> m_changes;
    std::map<std::uint64_t, std::size_t> m_sent; // Command to change.
    std::map<std::size_t, ChangeAnswer> m_answers;
    std::map<RegisterVersion, std::size_t> m_winners;
};

class ConfigurationHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationHistoryTest);
    CPPUNIT_TEST(acceptedChangesNeverRevert);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedChangesNeverRevert()
    {
        std::size_t histories = 0;
        std::size_t accepted = 0;
        CPPUNIT_ASSERT(rc::check([&](std::uint64_t seed) {
            const HistoryShape shape { .crashes = true,
                                       .partitions = true,
                                       .freezes = true,
                                       .lossyNetwork = true,
                                       .membership = true };
            ++histories;
            accepted += OperatorHistory(shape, seed).finish(60);
        }));
        CPPUNIT_ASSERT(accepted > 2 * histories);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationHistoryTest);

} // namespace
