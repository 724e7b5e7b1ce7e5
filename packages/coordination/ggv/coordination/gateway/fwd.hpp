#pragma once

namespace ggv {

struct ForwardingHeaders;
struct GatewaySetup;
class Gateway;
class GatewayContext;
class GatewayRequest;
class TargetPathProber;

} // namespace ggv
