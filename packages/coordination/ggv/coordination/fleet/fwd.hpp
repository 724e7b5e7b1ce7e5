#pragma once

namespace ggv {

class FleetStateMachine;
class FleetDirectory;
class ControlHost;
class EntryLink;
class TargetListReader;

} // namespace ggv
