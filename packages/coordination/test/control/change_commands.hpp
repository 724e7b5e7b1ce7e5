#pragma once

#include <ggv/coordination/control/configuration_state_machine.hpp>
#include <ggv/protocol/codec/change_codec.hpp>
#include <ggv/protocol/codec/register_codec.hpp>

#include <model/sample_register.hpp>

#include <functional>
#include <string>

namespace ggv::test {

//! URL that identifies the change that set it.
inline std::string markerUrl(const std::string &id) { return "http://127.0.0.1:9/" + id; }

//! Change that creates version 1 of the register.
inline ChangeCommand firstChange()
{
    const auto target = Register::create(1, sampleContent()).value();
    return { ChangeId("first"), "ada", 0, 1, encodeDelta(diffRegisters(Register(), target)) };
}

//! Change that only sets the marker URL.
inline ChangeCommand markerChange(const std::string &id, RegisterVersion expected)
{
    RegisterDelta delta;
    delta.from = expected;
    delta.to = expected + 1;
    delta.platformListUrl = markerUrl(id);
    return { ChangeId(id), "ada", expected, std::hash<std::string> {}(id), encodeDelta(delta) };
}

} // namespace ggv::test
