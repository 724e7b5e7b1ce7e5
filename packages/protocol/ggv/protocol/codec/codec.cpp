#include <ggv/protocol/codec/codec.hpp>

namespace ggv { } // namespace ggv
