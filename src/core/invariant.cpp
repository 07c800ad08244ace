#include "masticcourse/core/invariant.hpp"

#include <glog/logging.h>

#include <atomic>
#include <cstdlib>

namespace masticcourse
{

namespace
{

/// Logs event 1901 of the event catalogue. The text is formatted here because core must not depend on
/// telemetry.
void log_and_abort(std::string_view message, const std::source_location& where)
{
    LOG(FATAL) << "E1901 invariant_violated message=\"" << message << "\" where=" << where.file_name() << ':'
               << where.line();
}

std::atomic<invariant_handler> current_handler{&log_and_abort};
std::atomic<std::uint64_t> violations{0};

} // namespace

invariant_handler set_invariant_handler(invariant_handler handler)
{
    return current_handler.exchange(handler == nullptr ? &log_and_abort : handler);
}

std::uint64_t invariant_violations()
{
    return violations.load();
}

void detail::invariant_violated(std::string_view message, const std::source_location& where)
{
    violations.fetch_add(1);
    current_handler.load()(message, where);
}

} // namespace masticcourse
