#include <ggv/protocol/codec/peer_codec.hpp>

#include <ggv/protocol/codec/detail/pack.hpp>
#include <ggv/protocol/codec/detail/raft_fields.hpp>

namespace ggv {

namespace detail {

template <>
struct Fields<Hello>
{
    static constexpr auto List = std::tuple(&Hello::wireVersion, &Hello::host, &Hello::process,
                                            &Hello::member, &Hello::nonce);
};

template <>
struct Fields<HelloProof>
{
    static constexpr auto List = std::tuple(&HelloProof::proof);
};

template <>
struct Fields<GroupMessage>
{
    static constexpr auto List = std::tuple(&GroupMessage::group, &GroupMessage::message);
};

template <>
struct Fields<ProposeCall>
{
    static constexpr auto List
        = std::tuple(&ProposeCall::group, &ProposeCall::call, &ProposeCall::command);
};

template <>
struct Fields<ProposeAnswer>
{
    static constexpr auto List = std::tuple(&ProposeAnswer::call, &ProposeAnswer::code,
                                            &ProposeAnswer::leader, &ProposeAnswer::answer);
};

template <>
struct Fields<ConfigurationRequest>
{
    static constexpr auto List = std::tuple(&ConfigurationRequest::version);
};

template <>
struct Fields<ConfigurationUpdate>
{
    static constexpr auto List = std::tuple(&ConfigurationUpdate::from, &ConfigurationUpdate::to,
                                            &ConfigurationUpdate::content);
};

template <>
struct Fields<HostStatusReport>
{
    static constexpr auto List = std::tuple(&HostStatusReport::host, &HostStatusReport::process,
                                            &HostStatusReport::sequence, &HostStatusReport::version,
                                            &HostStatusReport::leaving);
};

template <>
struct Fields<HostStatusReports>
{
    static constexpr auto List = std::tuple(&HostStatusReports::reports);
};

template <>
struct Fields<HostException>
{
    static constexpr auto List
        = std::tuple(&HostException::host, &HostException::state, &HostException::version);
};

template <>
struct Fields<MembershipView>
{
    static constexpr auto List
        = std::tuple(&MembershipView::term, &MembershipView::sequence, &MembershipView::version,
                     &MembershipView::leader, &MembershipView::exceptions);
};

template <>
struct Fields<BudgetKey>
{
    static constexpr auto List = std::tuple(&BudgetKey::kind, &BudgetKey::subject);
};

template <>
struct Fields<BudgetShare>
{
    static constexpr auto List = std::tuple(&BudgetShare::key, &BudgetShare::units);
};

template <>
struct Fields<LeasedShare>
{
    static constexpr auto List
        = std::tuple(&LeasedShare::key, &LeasedShare::pool, &LeasedShare::borrowed);
};

template <>
struct Fields<GrantId>
{
    static constexpr auto List = std::tuple(&GrantId::term, &GrantId::sequence);
};

template <>
struct Fields<LeaseRequest>
{
    static constexpr auto List
        = std::tuple(&LeaseRequest::holder, &LeaseRequest::sequence, &LeaseRequest::process,
                     &LeaseRequest::registerVersion, &LeaseRequest::lastGrant, &LeaseRequest::held,
                     &LeaseRequest::renewable, &LeaseRequest::retained, &LeaseRequest::wanted);
};

template <>
struct Fields<LeaseGrant>
{
    static constexpr auto List
        = std::tuple(&LeaseGrant::sequence, &LeaseGrant::process, &LeaseGrant::term,
                     &LeaseGrant::registerVersion, &LeaseGrant::lifetime, &LeaseGrant::renewalOnly,
                     &LeaseGrant::shares, &LeaseGrant::fixed);
};

template <>
struct Fields<LeaseCall>
{
    static constexpr auto List = std::tuple(&LeaseCall::request, &LeaseCall::hops);
};

template <>
struct Fields<LeaseAnswer>
{
    static constexpr auto List
        = std::tuple(&LeaseAnswer::holder, &LeaseAnswer::grant, &LeaseAnswer::version);
};

template <>
struct Fields<ClaimGroupCall>
{
    static constexpr auto List = std::tuple(&ClaimGroupCall::group, &ClaimGroupCall::call);
};

template <>
struct Fields<ClaimGroupAnswer>
{
    static constexpr auto List = std::tuple(&ClaimGroupAnswer::group, &ClaimGroupAnswer::answer);
};

} // namespace detail

Bytes encodePeerMessage(const PeerMessage &message) { return detail::encodeValue(message); }

PeerMessage decodePeerMessage(ByteView bytes) { return detail::decodeValue<PeerMessage>(bytes); }

} // namespace ggv
