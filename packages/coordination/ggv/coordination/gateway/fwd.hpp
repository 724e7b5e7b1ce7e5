#pragma once

namespace ggv {

struct ForwardingHeaders;
struct GatewaySetup;
class Gateway;
class GatewayContext;
class GatewayRequest;
class PeerForwarding;
class TargetPathProber;

} // namespace ggv
