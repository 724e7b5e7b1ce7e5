#pragma once

namespace ggv {

class Disk;
class LogStore;
struct LogEntry;
struct HardState;
struct Snapshot;
struct RecoveredState;

} // namespace ggv
