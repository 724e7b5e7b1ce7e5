#pragma once

#include <cstdint>

namespace ggv {

enum class RequestKind : std::uint8_t;
enum class RequestPhase : std::uint8_t;
enum class RequestEventKind : std::uint8_t;
enum class RetryPermit : std::uint8_t;
struct RequestEvent;
struct RequestEventContext;
struct RequestActions;
struct FinalAnswer;
struct RequestResult;
class RequestStateMachine;

} // namespace ggv
