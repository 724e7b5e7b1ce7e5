#pragma once

#include <ggv/coordination/control/control_plane.hpp>
#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/coordination/entry/target_table.hpp>
#include <ggv/state/core/rcu_cell.hpp>
#include <ggv/state/steering/lookup_table.hpp>

#include <atomic>
#include <memory>

#include <opentracing/tracer.h>

namespace ggv {

class Metrics;

//! State shared by all requests of an entry host.
struct EntryContext
{
    //! Routing view; null until a register is in force.
    RcuCell<EntryView> view { nullptr };
    //! Look-up table; null until a register is in force.
    RcuCell<LookupTable> lookupTable { nullptr };
    ControlPlane *control = nullptr;
    TargetTable *targetTable = nullptr;
    Metrics *metrics = nullptr; //!< May be null.
    std::shared_ptr<const opentracing::Tracer> tracer; //!< Null if tracing is disabled.
    std::atomic<bool> leaving = false; //!< Set while the host shuts down.
};

} // namespace ggv
