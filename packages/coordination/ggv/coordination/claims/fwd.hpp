#pragma once

namespace ggv {

class ClaimMachine;
class ClaimClient;
struct ClaimClientOptions;
struct ClaimClientOutput;
struct ClaimSend;
struct ClaimNotice;

} // namespace ggv
