// masticcourse-target: proxy in front of a target; all calls to the target go through it.
#include "masticcourse/daemon/daemon_main.hpp"
#include "masticcourse/daemon/target_daemon.hpp"

namespace
{

bool run(const masticcourse::deployment_settings& settings, const masticcourse::process_name& name)
{
    const auto* const self = masticcourse::find_target(settings, name);
    if (self == nullptr)
    {
        return false;
    }
    masticcourse::target_daemon{settings, *self}.run();
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    return masticcourse::daemon_main("masticcourse-target", argc, argv, run);
}
