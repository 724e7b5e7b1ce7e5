#pragma once

namespace ggv {

struct Endpoint;
struct Region;
struct FailureDomain;
struct EntryHost;
struct NonIdempotentRoute;
struct Service;
struct Target;
struct Link;
struct ClientBlock;
struct ShiftCap;
struct Drain;
struct ClaimGroup;
struct RegisterContent;
class Register;

} // namespace ggv
