#include <ggv/protocol/codec/fleet_codec.hpp>

#include <ggv/protocol/codec/detail/fleet_fields.hpp>

namespace ggv {

Bytes encodeFleetMessage(const FleetMessage &message) { return detail::encodeValue(message); }

FleetMessage decodeFleetMessage(ByteView bytes) { return detail::decodeValue<FleetMessage>(bytes); }

Bytes encodeFleetCommand(const FleetCommand &command) { return detail::encodeValue(command); }

FleetCommand decodeFleetCommand(ByteView bytes) { return detail::decodeValue<FleetCommand>(bytes); }

Bytes encodeFleetCommandAnswer(const FleetCommandAnswer &answer)
{
    return detail::encodeValue(answer);
}

FleetCommandAnswer decodeFleetCommandAnswer(ByteView bytes)
{
    return detail::decodeValue<FleetCommandAnswer>(bytes);
}

Bytes encodeFleetState(const FleetState &state) { return detail::encodeValue(state); }

FleetState decodeFleetState(ByteView bytes) { return detail::decodeValue<FleetState>(bytes); }

} // namespace ggv
