#pragma once

#include <ggv/protocol/codec/detail/pack.hpp>
#include <ggv/protocol/message/change_message.hpp>

namespace ggv::detail {

template <>
struct Fields<ChangeCommand>
{
    static constexpr auto List
        = std::tuple(&ChangeCommand::id, &ChangeCommand::operatorName, &ChangeCommand::expected,
                     &ChangeCommand::digest, &ChangeCommand::delta);
};

template <>
struct Fields<ChangeAnswer>
{
    static constexpr auto List
        = std::tuple(&ChangeAnswer::code, &ChangeAnswer::version, &ChangeAnswer::message);
};

} // namespace ggv::detail
