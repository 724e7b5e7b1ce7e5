#include <ggv/coordination/version.hpp>

namespace ggv {

std::string_view softwareVersion() noexcept { return "0.1.0"; }

} // namespace ggv
