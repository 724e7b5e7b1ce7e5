#include "change_commands.hpp"

#include <consensus/history.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using namespace ggv::test;

// Records which change produced each version on any member.
class VersionHistory
{
public:
    void check(const Register &content)
    {
        const std::string &marker = content.content().platformListUrl;
        const auto it = m_markers.emplace(content.version(), marker).first;
        require(it->second == marker,
                "members have different contents for a version of the register");
    }

    void checkAccepted(RegisterVersion version, const std::string &marker) const
    {
        require(m_markers.at(version) == marker,
                "the version of an accepted change was made by another change");
    }

private:
    std::map<RegisterVersion, std::string> m_markers;
};

// Applies each command to the command list and to a configuration machine.
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
        const Bytes innerAnswer = m_inner.apply(index, command.subspan(sizeof(std::uint64_t)));
        answer.insert(answer.end(), innerAnswer.begin(), innerAnswer.end());
        return answer;
    }

    [[nodiscard]] Bytes encode() const override
    {
        const Bytes list = ListStateMachine::encode();
        Bytes state = encodeNumber(list.size());
        state.insert(state.end(), list.begin(), list.end());
        const Bytes innerAnswer = m_inner.encode();
        state.insert(state.end(), innerAnswer.begin(), innerAnswer.end());
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

// Random history in which operators submit conflicting changes and resend changes, with and without
// a received answer.
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
                recordAnswer(it->second, decodeChangeAnswer(answer));
        };
    }

    //! @return Number of changes that were accepted.
    std::size_t runAndCheck(int events)
    {
        runEvents(events);
        for (std::size_t change = 0; change < m_changes.size(); ++change)
            resend(change);
        for (const auto &[version, change] : m_acceptedChanges) {
            if (change > 0)
                m_versions.checkAccepted(version, markerUrl(m_changes[change].id.text()));
        }
        return m_acceptedChanges.size();
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

    // Resends a change to the healed cluster until it is answered.
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
        require(cluster().runUntil(isAnswered),
                "liveness: a resent change is not answered within the time limit");
    }

    void recordAnswer(std::size_t change, const ChangeAnswer &answer)
    {
        const auto first = m_answers.emplace(change, answer).first;
        require(first->second == answer, "a resent change is not answered with its first answer");
        if (answer.code != ResultCode::Ok)
            return;
        const auto accepted = m_acceptedChanges.emplace(answer.version, change).first;
        require(accepted->second == change, "two changes are accepted for the same version");
        require(answer.version == m_changes[change].expected + 1,
                "an accepted change does not lead to the version after its expected one");
    }

    VersionHistory m_versions;
    std::vector<ChangeCommand> m_changes;
    std::map<std::uint64_t, std::size_t> m_sent; // Command number to index of the change.
    std::map<std::size_t, ChangeAnswer> m_answers;
    std::map<RegisterVersion, std::size_t> m_acceptedChanges;
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
            accepted += OperatorHistory(shape, seed).runAndCheck(60);
        }));
        CPPUNIT_ASSERT(accepted > 2 * histories);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationHistoryTest);

} // namespace
