#pragma once

namespace ggv {

struct VoteRequest;
struct VoteAnswer;
struct AppendRequest;
struct AppendAnswer;
struct InstallSnapshot;
struct RaftMessage;
struct Hello;
struct HelloProof;
struct GroupMessage;
struct ProposeCall;
struct ProposeAnswer;
struct ConfigurationRequest;
struct ConfigurationUpdate;
struct HostReport;
struct HostStatusReport;
struct HostStatusReports;
struct HostException;
struct MembershipView;
struct LeaseCall;
struct LeaseAnswer;
struct ClaimGroupCall;
struct ClaimGroupAnswer;
struct ChangeCommand;
struct ChangeAnswer;

} // namespace ggv
