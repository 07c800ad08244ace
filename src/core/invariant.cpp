#include "masticcourse/core/invariant.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <atomic>
#include <cstdlib>
#include <string>

namespace masticcourse
{

namespace
{

void log_and_abort(std::string_view message, const std::source_location& where)
{
    log_event(event_id::invariant_violated,
              {{"message", std::string{message}},
               {"where", std::string{where.file_name()} + ":" + std::to_string(where.line())}});
    std::abort();
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
