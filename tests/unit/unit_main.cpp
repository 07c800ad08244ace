// The entry point of the unit tests.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // The verdict is the same on every run; a soak run sets its own seed and count.
    constexpr int keep_what_is_set = 0;
    ::setenv("RC_PARAMS", "seed=20261202", keep_what_is_set); // NOLINT(concurrency-mt-unsafe): no thread yet
    return doctest::Context(argc, argv).run();
}
