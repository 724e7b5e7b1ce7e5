#pragma once

namespace ggv {

class StateMachine;
class Raft;
struct RaftOptions;
struct RaftStatus;
struct RaftOutput;
struct Completion;

} // namespace ggv
