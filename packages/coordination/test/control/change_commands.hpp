#pragma once

#include <ggv/coordination/control/configuration_state_machine.hpp>
#include <ggv/protocol/codec/change_codec.hpp>
#include <ggv/protocol/codec/register_codec.hpp>

#include <model/sample_register.hpp>

#include <functional>
#include <string>

namespace ggv::test {

//! Address that marks the change that set it.
inline std::string markerUrl(const std::string &id) { return "http://127.0.0.1:9/" + id; }

//! The first register of a system.
inline ChangeCommand firstChange()
{
    const auto target = Register::create(1, sampleContent()).value();
    return { ChangeId("first"), "ada", 0, 1, encodeDelta(diffRegisters(Register(), target)) };
}

//! A change that only sets the mark.
inline ChangeCommand markerChange(const std::string &id, RegisterVersion expected)
{
    RegisterDelta delta;
    delta.from = expected;
    delta.to = expected + 1;
    delta.platformListUrl = markerUrl(id);
    return { ChangeId(id), "ada", expected, std::hash<std::string> {}(id), encodeDelta(delta) };
}

} // namespace ggv::test
