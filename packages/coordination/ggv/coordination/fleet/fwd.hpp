#pragma once

namespace ggv {

class FleetStateMachine;
class FleetDirectory;
class ControlHost;
class EntryLink;
class MembershipReconciler;
class PauseDetector;
class TargetListReader;

} // namespace ggv
