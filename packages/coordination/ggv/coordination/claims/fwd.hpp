#pragma once

namespace ggv {

class ClaimStateMachine;
class ClaimClient;
struct ClaimClientOptions;
struct ClaimClientOutput;
struct OutgoingClaimCall;
struct ClaimNotification;

} // namespace ggv
