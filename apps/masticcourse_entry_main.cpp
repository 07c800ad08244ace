// masticcourse-entry: HTTP API for callers and operators; runs the programs of the shards that it owns.
#include "masticcourse/daemon/daemon_main.hpp"
#include "masticcourse/daemon/entry_daemon.hpp"

namespace
{

bool run(const masticcourse::deployment_settings& settings, const masticcourse::process_name& name)
{
    const auto* const self = masticcourse::find_entry(settings, name);
    if (self == nullptr)
    {
        return false;
    }
    masticcourse::entry_daemon{settings, *self}.run();
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    return masticcourse::daemon_main("masticcourse-entry", argc, argv, run);
}
