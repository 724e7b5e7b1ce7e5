#pragma once

namespace ggv {

class FleetMachine;
class FleetDirectory;
class ControlHost;
class EntryLink;
class TargetListReader;

} // namespace ggv
