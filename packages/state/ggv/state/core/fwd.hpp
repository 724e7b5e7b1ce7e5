#pragma once

#include <cstdint>

namespace ggv {

enum class Verdict : std::uint8_t;
enum class ResultCode : std::uint16_t;
class Error;
template <typename Value>
class Result;
template <typename Tag>
class Name;

} // namespace ggv
