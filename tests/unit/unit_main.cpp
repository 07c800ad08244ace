// The entry point of the unit tests.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // Property tests draw the same cases on every run; set RC_PARAMS to draw others.
    constexpr int keep_existing = 0;
    ::setenv("RC_PARAMS", "seed=20261", keep_existing);
    return doctest::Context{argc, argv}.run();
}
